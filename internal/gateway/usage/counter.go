package usage

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// maxCounts bounds the counts of an update, which is part of a datagram.
	maxCounts = 400
	// maxWindows bounds the windows for which counts are kept: those of a minute or more
	// in which nobody could report.
	maxWindows = 24
)

// Counter counts the requests of this gateway. All methods may be called concurrently.
type Counter struct {
	windows Windows
	now     func() time.Time

	// mu guards what follows; nothing is locked while it is held.
	mu       sync.Mutex
	sequence uint64
	counts   map[countKey]*counted
}

type countKey struct {
	window   uint64
	customer string
}

type counted struct {
	requests int64
	// changed is the sequence of the last change.
	changed uint64
}

// NewCounter returns a Counter by a clock of true time.
func NewCounter(w Windows, now func() time.Time) *Counter {
	return &Counter{windows: w, now: now, counts: map[countKey]*counted{}}
}

// Began counts a request that a backend server began to run now.
func (c *Counter) Began(customer string) {
	window := c.windows.Number(c.now())
	c.mu.Lock()
	defer c.mu.Unlock()
	key := countKey{window, customer}
	n := c.counts[key]
	if n == nil {
		c.expire(window)
		n = &counted{}
		c.counts[key] = n
	}
	c.sequence++
	n.requests++
	n.changed = c.sequence
}

// expire drops windows that are too old to be reported; c.mu is held.
func (c *Counter) expire(newest uint64) {
	for key := range c.counts {
		if key.window+maxWindows < newest {
			delete(c.counts, key)
		}
	}
}

// Update returns what has changed after a sequence number.
func (c *Counter) Update(after uint64) Update {
	upto := c.now().UnixMilli()
	c.mu.Lock()
	defer c.mu.Unlock()
	type change struct {
		Count
		sequence uint64
	}
	var changed []change
	for key, n := range c.counts {
		if n.changed > after {
			changed = append(changed, change{Count{Window: key.window, Customer: key.customer, Requests: n.requests}, n.changed})
		}
	}
	slices.SortFunc(changed, func(a, b change) int { return cmp.Compare(a.sequence, b.sequence) })
	u := Update{Sequence: c.sequence, Upto: upto}
	if len(changed) > maxCounts {
		changed = changed[:maxCounts]
		u.Sequence, u.Upto = changed[maxCounts-1].sequence, 0
	}
	for _, ch := range changed {
		u.Counts = append(u.Counts, ch.Count)
	}
	return u
}
