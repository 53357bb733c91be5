package usage

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// maxUpdateCounts limits the counts of an update, which must fit into a datagram.
	maxUpdateCounts = 400
	// maxRetainedWindows limits the windows whose counts are kept. It covers a minute or more in
	// which no gateway could send reports.
	maxRetainedWindows = 24
)

// Counter counts the requests of this gateway. All methods are safe for concurrent use.
type Counter struct {
	windows Windows
	clock   func() time.Time

	// mu guards the fields below; no other lock is acquired while it is held.
	mu sync.Mutex
	// sequence is the sequence number of the last change.
	sequence uint64
	counts   map[countKey]*requestCount
}

type countKey struct {
	window   uint64
	customer string
}

type requestCount struct {
	requests int64
	// changeSequence is the sequence number of the last change of this count.
	changeSequence uint64
}

// NewCounter returns an empty Counter. The clock returns the gateways' common time of day.
func NewCounter(w Windows, clock func() time.Time) *Counter {
	return &Counter{windows: w, clock: clock, counts: map[countKey]*requestCount{}}
}

// Add counts a request that a backend server starts to run now.
func (c *Counter) Add(customer string) {
	window := c.windows.Number(c.clock())
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

// expireLocked deletes the counts of windows that are too old to be reported; c.mu must be held.
func (c *Counter) expireLocked(newest uint64) {
	for key := range c.counts {
		if key.window+maxRetainedWindows < newest {
			delete(c.counts, key)
		}
	}
}

// UpdateSince returns the counts that changed after a sequence number. If there are more than
// maxUpdateCounts, the update is truncated to the oldest changes and its CompleteUntil is 0.
func (c *Counter) UpdateSince(after uint64) Update {
	completeUntil := c.clock().UnixMilli()
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
