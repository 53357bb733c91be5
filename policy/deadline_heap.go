package policy

// deadlineHeap orders the tickets that may expire (container/heap).
type deadlineHeap []*waiting

func (h deadlineHeap) Len() int { return len(h) }

func (h deadlineHeap) Less(i, j int) bool {
	return h[i].due.Before(h[j].due)
}

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].deadlineIndex = i
	h[j].deadlineIndex = j
}

// Push appends x; use heap.Push.
func (h *deadlineHeap) Push(x any) {
	w := x.(*waiting)
	w.deadlineIndex = len(*h)
	*h = append(*h, w)
}

// Pop removes the last element; use heap.Pop.
func (h *deadlineHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.deadlineIndex = noIndex
	return w
}
