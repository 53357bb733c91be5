package claim

import (
	"context"
	"slices"
	"sync"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"

	"github.com/applepier/applepier/internal/storage"
)

// Bounds of a committer.
const (
	// maxGroup is how many steps share one transaction.
	maxGroup = 64
	// maxInFlight is how many transactions of one process are under way. With
	// one, a call that the table service is slow to answer would hold up all
	// others; with many, steps would not gather in groups.
	maxInFlight = 2
	// maxPending bounds the steps that wait; beyond, they are refused.
	maxPending = 4096
)

// committer gathers steps into groups. While transactions are under way,
// arriving steps wait, and the next transaction takes them all.
type committer struct {
	table   storage.Table
	writers conc.WaitGroup

	mu       sync.Mutex
	pending  []*step
	inFlight int
}

// errFull is the cause of ErrUnavailable when too many steps wait.
var errFull = errors.New("too many claims are waiting to be written")

// submit writes a step and waits for its result. When ctx ends first, the
// result's error tells whether the step may still be written.
func (c *committer) submit(ctx context.Context, s *step) result {
	s.done = make(chan result, 1)
	if !c.enqueue(s) {
		return result{err: errors.Join(ErrUnavailable, errFull)}
	}
	select {
	case r := <-s.done:
		return r
	case <-ctx.Done():
	}
	if c.remove(s) {
		return result{err: errors.Join(ErrUnavailable, context.Cause(ctx))}
	}
	return result{err: errors.Join(ErrUnsettled, context.Cause(ctx))}
}

// wait returns once no transaction is under way.
func (c *committer) wait() {
	c.writers.Wait()
}

func (c *committer) enqueue(s *step) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) >= maxPending {
		return false
	}
	c.pending = append(c.pending, s)
	if c.inFlight < maxInFlight {
		c.inFlight++
		c.writers.Go(c.write)
	}
	return true
}

func (c *committer) remove(s *step) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.Index(c.pending, s)
	if i < 0 {
		return false
	}
	c.pending = slices.Delete(c.pending, i, i+1)
	return true
}

// write writes groups until no step waits.
func (c *committer) write() {
	for {
		steps := c.take()
		if len(steps) == 0 {
			return
		}
		g := group{table: c.table, steps: steps}
		g.run()
	}
}

// take removes a group of steps on different rows from those that wait. When
// there is none, the caller's place among the transactions is given up.
func (c *committer) take() []*step {
	c.mu.Lock()
	defer c.mu.Unlock()
	var group, left []*step
	rows := map[string]bool{}
	for _, s := range c.pending {
		if len(group) == maxGroup || rows[s.row] {
			left = append(left, s)
			continue
		}
		rows[s.row] = true
		group = append(group, s)
	}
	c.pending = left
	if len(group) == 0 {
		c.inFlight--
	}
	return group
}
