package claim

import (
	"context"
	"slices"
	"sync"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"

	"github.com/applepier/applepier/internal/storage"
)

// Limits of a committer.
const (
	// maxBatchSize is the maximum number of transitions in one transaction.
	maxBatchSize = 64
	// maxInFlightBatches is the maximum number of concurrent transactions of a
	// committer. With one, a slow call to the table service would block all other
	// transitions; with many, transitions would not accumulate into batches.
	maxInFlightBatches = 2
	// maxPendingTransitions bounds the queue; further transitions are rejected.
	maxPendingTransitions = 4096
)

// committer writes transitions in batches (group commit). While transactions are in
// flight, new transitions queue, and the next transaction takes up to maxBatchSize of
// them.
type committer struct {
	table   storage.Table
	workers conc.WaitGroup

	// mu guards pending, the queue, and inFlight, the number of running workers. Each
	// worker has at most one transaction in flight.
	mu       sync.Mutex
	pending  []*transition
	inFlight int
}

// errQueueFull is the cause of ErrUnavailable when the queue is full.
var errQueueFull = errors.New("too many claims are waiting to be written")

// submit queues a transition and waits for its result. If ctx is done first, the error
// of the result is ErrUnavailable if the transition was still queued and will not be
// written, or ErrOutcomeUnknown if it may be written.
func (c *committer) submit(ctx context.Context, t *transition) result {
	t.result = make(chan result, 1)
	if !c.enqueue(t) {
		return result{err: errors.Join(ErrUnavailable, errQueueFull)}
	}
	select {
	case r := <-t.result:
		return r
	case <-ctx.Done():
	}
	if c.dequeue(t) {
		return result{err: errors.Join(ErrUnavailable, context.Cause(ctx))}
	}
	return result{err: errors.Join(ErrOutcomeUnknown, context.Cause(ctx))}
}

// wait waits for the transactions in flight and the queued transitions.
func (c *committer) wait() {
	c.workers.Wait()
}

// enqueue queues a transition and starts a worker if fewer than maxInFlightBatches
// run. It reports false if the queue is full.
func (c *committer) enqueue(t *transition) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) >= maxPendingTransitions {
		return false
	}
	c.pending = append(c.pending, t)
	if c.inFlight < maxInFlightBatches {
		c.inFlight++
		c.workers.Go(c.writeBatches)
	}
	return true
}

// dequeue removes a queued transition. It reports false if a batch has taken it.
func (c *committer) dequeue(t *transition) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.Index(c.pending, t)
	if i < 0 {
		return false
	}
	c.pending = slices.Delete(c.pending, i, i+1)
	return true
}

// writeBatches writes batches until the queue is empty.
func (c *committer) writeBatches() {
	for {
		batched := c.nextBatch()
		if len(batched) == 0 {
			return
		}
		b := batch{table: c.table, transitions: batched}
		b.run()
	}
}

// nextBatch removes a batch of transitions of different rows from the queue. If the
// queue is empty, it decrements inFlight and the calling worker must exit.
func (c *committer) nextBatch() []*transition {
	c.mu.Lock()
	defer c.mu.Unlock()
	var batched, remaining []*transition
	rows := map[string]bool{}
	for _, t := range c.pending {
		if len(batched) == maxBatchSize || rows[t.rowKey] {
			remaining = append(remaining, t)
			continue
		}
		rows[t.rowKey] = true
		batched = append(batched, t)
	}
	c.pending = remaining
	if len(batched) == 0 {
		c.inFlight--
	}
	return batched
}
