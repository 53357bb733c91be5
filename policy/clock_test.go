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
	at  time.Time
	seq uint64
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func newVirtualClock() *virtualClock {
	return &virtualClock{now: time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)}
}

func (c *virtualClock) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, event{at: c.now.Add(max(d, 0)), seq: c.seq, run: run})
}

// runUntil plays all that is due up to a time.
func (c *virtualClock) runUntil(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}
