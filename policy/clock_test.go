package policy

import (
	"container/heap"
	"time"
)

// virtualClock runs callbacks in order of their time.
type virtualClock struct {
	now    time.Time
	events eventHeap
	seq    uint64
}

type event struct {
	// at is in nanoseconds since the clock's start: comparing it is cheaper
	// than comparing times, which counts under the race detector.
	at  int64
	seq uint64
	run func()
}

type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.at != b.at {
		return a.at < b.at
	}
	return a.seq < b.seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(*event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func newVirtualClock() *virtualClock {
	return &virtualClock{now: testStart}
}

func (c *virtualClock) after(d time.Duration, run func()) {
	c.seq++
	at := c.now.Sub(testStart) + max(d, 0)
	heap.Push(&c.events, &event{at: int64(at), seq: c.seq, run: run})
}

// runUntil plays all that is due up to a time.
func (c *virtualClock) runUntil(end time.Time) {
	last := int64(end.Sub(testStart))
	for len(c.events) > 0 && c.events[0].at <= last {
		e := heap.Pop(&c.events).(*event)
		c.now = testStart.Add(time.Duration(e.at))
		e.run()
	}
	c.now = end
}
