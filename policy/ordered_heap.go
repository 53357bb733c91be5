package policy

// heapItem is an element of an orderedHeap: it knows whether it goes before another one,
// and keeps its place, noIndex while it is in none.
type heapItem[T any] interface {
	goesBefore(other T) bool
	place() *int
}

// orderedHeap has the element that goes before all others first, and tells each its
// place, so that one in the middle can be moved or taken out (container/heap).
type orderedHeap[T heapItem[T]] []T

func (h orderedHeap[T]) Len() int { return len(h) }

func (h orderedHeap[T]) Less(i, j int) bool { return h[i].goesBefore(h[j]) }

func (h orderedHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	*h[i].place() = i
	*h[j].place() = j
}

// Push appends x; use heap.Push.
func (h *orderedHeap[T]) Push(x any) {
	item := x.(T)
	*item.place() = len(*h)
	*h = append(*h, item)
}

// Pop removes the last element; use heap.Pop.
func (h *orderedHeap[T]) Pop() any {
	old := *h
	last := len(old) - 1
	item := old[last]
	var none T
	old[last] = none
	*h = old[:last]
	*item.place() = noIndex
	return item
}
