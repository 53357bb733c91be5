package policy

import (
	"container/heap"
	"time"
)

// virtualClock runs callbacks in the order of their times, without waiting.
type virtualClock struct {
	now    time.Time
	events eventHeap
	seq    uint64
}

// event is a callback to be run at a time.
type event struct {
	// offset is in nanoseconds since testStart. Comparing integers is cheaper than
	// comparing times, which matters under the race detector.
	offset int64
	// seq keeps events of the same time in the order they were added.
	seq      uint64
	callback func()
}

// eventHeap is a min-heap by time.
type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.offset != b.offset {
		return a.offset < b.offset
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

// afterFunc runs a callback after d, or at the current time if d is negative.
func (c *virtualClock) afterFunc(d time.Duration, callback func()) {
	c.seq++
	offset := c.now.Sub(testStart) + max(d, 0)
	heap.Push(&c.events, &event{offset: int64(offset), seq: c.seq, callback: callback})
}

// runUntil runs all events up to and including a time, and sets the clock to it.
func (c *virtualClock) runUntil(end time.Time) {
	endOffset := int64(end.Sub(testStart))
	for len(c.events) > 0 && c.events[0].offset <= endOffset {
		e := heap.Pop(&c.events).(*event)
		c.now = testStart.Add(time.Duration(e.offset))
		e.callback()
	}
	c.now = end
}
