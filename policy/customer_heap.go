package policy

// customerHeap orders a class's customers by start tag (container/heap).
type customerHeap []*customerQueue

func (h customerHeap) Len() int { return len(h) }

func (h customerHeap) Less(i, j int) bool {
	if h[i].tag != h[j].tag {
		return h[i].tag < h[j].tag
	}
	return h[i].arrival < h[j].arrival
}

func (h customerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push appends x; use heap.Push.
func (h *customerHeap) Push(x any) {
	q := x.(*customerQueue)
	q.index = len(*h)
	*h = append(*h, q)
}

// Pop removes the last element; use heap.Pop.
func (h *customerHeap) Pop() any {
	old := *h
	q := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	q.index = noIndex
	return q
}
