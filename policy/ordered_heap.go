package policy

// heapItem is an element of an orderedHeap. It defines the order and stores its
// own index in the heap, which is notInHeap while it is in none.
type heapItem[T any] interface {
	less(other T) bool
	position() *int
}

// orderedHeap is a min-heap for container/heap. It keeps the index of every
// element up to date, so that elements can be moved or removed from the middle.
type orderedHeap[T heapItem[T]] []T

func (h orderedHeap[T]) Len() int { return len(h) }

func (h orderedHeap[T]) Less(i, j int) bool { return h[i].less(h[j]) }

func (h orderedHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	*h[i].position() = i
	*h[j].position() = j
}

// Push implements heap.Interface; callers use heap.Push.
func (h *orderedHeap[T]) Push(x any) {
	item := x.(T)
	*item.position() = len(*h)
	*h = append(*h, item)
}

// Pop implements heap.Interface; callers use heap.Pop.
func (h *orderedHeap[T]) Pop() any {
	old := *h
	last := len(old) - 1
	item := old[last]
	var zero T
	old[last] = zero
	*h = old[:last]
	*item.position() = notInHeap
	return item
}
