package engine

// waiter is a stream in the queue for a slot. ready is closed when it gets one.
type waiter struct {
	priority int
	seq      int
	ready    chan struct{}
	// index is the waiter's position in the heap, or -1 after its removal.
	index int
}

// waitQueue is a heap of waiters by priority and arrival. It implements
// heap.Interface.
type waitQueue []*waiter

func (w waitQueue) Len() int { return len(w) }

func (w waitQueue) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority < w[j].priority
	}
	return w[i].seq < w[j].seq
}

func (w waitQueue) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index = i
	w[j].index = j
}

func (w *waitQueue) Push(x any) {
	added := x.(*waiter)
	added.index = len(*w)
	*w = append(*w, added)
}

func (w *waitQueue) Pop() any {
	old := *w
	last := old[len(old)-1]
	old[len(old)-1] = nil
	last.index = -1
	*w = old[:len(old)-1]
	return last
}
