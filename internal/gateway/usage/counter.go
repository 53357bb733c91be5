package usage

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// maxCounts bounds the counts of an update, which is part of a datagram.
	maxUpdateCounts = 400
	// maxWindows bounds the windows for which counts are kept: those of a minute or more
	// in which nobody could report.
	maxRetainedWindows = 24
)

// Counter counts the requests of this gateway. All methods may be called concurrently.
type Counter struct {
	windows Windows
	now     func() time.Time

	// mu guards what follows; nothing is locked while it is held.
	mu       sync.Mutex
	sequence uint64
	counts   map[countKey]*requestCount
}

type countKey struct {
	window   uint64
	customer string
}

type requestCount struct {
	requests int64
	// changed is the sequence of the last change.
	changeSequence uint64
}

// NewCounter returns a Counter by a clock of true time.
func NewCounter(w Windows, now func() time.Time) *Counter {
	return &Counter{windows: w, now: now, counts: map[countKey]*requestCount{}}
}

// Began counts a request that a backend server began to run now.
func (c *Counter) Began(customer string) {
	window := c.windows.Number(c.now())
	c.mu.Lock()
	defer c.mu.Unlock()
	key := countKey{window, customer}
	count := c.counts[key]
	if count == nil {
		c.expireLocked(window)
		count = &requestCount{}
		c.counts[key] = count
	}
	c.sequence++
	count.requests++
	count.changeSequence = c.sequence
}

// expire drops windows that are too old to be reported; c.mu is held.
func (c *Counter) expireLocked(newest uint64) {
	for key := range c.counts {
		if key.window+maxRetainedWindows < newest {
			delete(c.counts, key)
		}
	}
}

// Update returns what has changed after a sequence number.
func (c *Counter) Update(after uint64) Update {
	completeUntil := c.now().UnixMilli()
	c.mu.Lock()
	defer c.mu.Unlock()
	type change struct {
		Count
		sequence uint64
	}
	var changes []change
	for key, count := range c.counts {
		if count.changeSequence > after {
			changes = append(changes, change{Count{Window: key.window, Customer: key.customer, Requests: count.requests}, count.changeSequence})
		}
	}
	slices.SortFunc(changes, func(a, b change) int { return cmp.Compare(a.sequence, b.sequence) })
	update := Update{Sequence: c.sequence, CompleteUntil: completeUntil}
	if len(changes) > maxUpdateCounts {
		changes = changes[:maxUpdateCounts]
		update.Sequence, update.CompleteUntil = changes[maxUpdateCounts-1].sequence, 0
	}
	for _, change := range changes {
		update.Counts = append(update.Counts, change.Count)
	}
	return update
}
