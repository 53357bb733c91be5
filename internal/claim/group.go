package claim

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/storage"
)

// Bounds of settling a group.
const (
	// settleLimit is how long an unknown outcome is read back before the
	// callers are told so. They wait meanwhile.
	settleLimit = 5 * time.Second
	// callLimit bounds one call to the table service.
	callLimit    = 2 * time.Second
	firstPause   = 20 * time.Millisecond
	longestPause = 500 * time.Millisecond
)

// group is steps on different rows that are written in one transaction.
type group struct {
	table storage.Table
	steps []*step
	// doubt says that an earlier try may have taken effect, or may yet.
	doubt bool
}

// run writes the group and ends each of its steps.
//
// A conflict says only that some row was at another version, and writes
// nothing. So all rows are read back, the steps that lost are ended, and the
// remainder is written again. The same reading back settles an unknown
// outcome. The same writes are then committed again, although the first call
// may still land: both expect the same versions, so only one takes effect.
func (g *group) run() {
	ctx, cancel := context.WithTimeout(context.Background(), settleLimit)
	defer cancel()
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = firstPause
	pauses.MaxInterval = longestPause
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		return struct{}{}, g.try(ctx)
	}, backoff.WithBackOff(pauses))
	if err == nil {
		return
	}
	g.endAll(g.giveUp(err))
}

// giveUp returns the error for the steps that remain.
func (g *group) giveUp(err error) error {
	if g.doubt {
		return errors.Join(ErrUnsettled, err)
	}
	return errors.Join(ErrUnavailable, err)
}

// try commits the remaining steps once. No error means that all have ended.
func (g *group) try(ctx context.Context) error {
	err := g.commit(ctx)
	switch {
	case err == nil:
		g.endAll(nil)
		return nil
	case errors.Is(err, storage.ErrUnavailable) && !g.doubt:
		return backoff.Permanent(err)
	case errors.Is(err, storage.ErrUnavailable):
		return err
	case errors.Is(err, storage.ErrConflict):
		return g.afterConflict(ctx, err)
	}
	g.doubt = true
	return g.readBack(ctx, err)
}

// afterConflict ends the steps that lost and writes the remainder at once:
// the callers of these steps did nothing to wait for.
func (g *group) afterConflict(ctx context.Context, conflict error) error {
	before := len(g.steps)
	err := g.readBack(ctx, conflict)
	if err == nil || len(g.steps) == before {
		return err
	}
	return g.try(ctx)
}

// readBack reads the rows of all steps and ends those whose outcome is
// certain. It returns cause while steps remain.
func (g *group) readBack(ctx context.Context, cause error) error {
	remaining := g.steps[:0:0]
	for _, s := range g.steps {
		row, err := g.get(ctx, s.row)
		exists := err == nil
		certain := exists || errors.Is(err, storage.ErrNotFound)
		if certain && s.settle(row, exists) {
			continue
		}
		remaining = append(remaining, s)
	}
	g.steps = remaining
	if len(g.steps) == 0 {
		return nil
	}
	return cause
}

func (g *group) commit(ctx context.Context) error {
	var writes []storage.Write
	for _, s := range g.steps {
		w, err := s.writes()
		if err != nil {
			return err
		}
		writes = append(writes, w...)
	}
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	return g.table.Commit(ctx, writes)
}

func (g *group) get(ctx context.Context, key string) (storage.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	return g.table.Get(ctx, key)
}

func (g *group) endAll(err error) {
	for _, s := range g.steps {
		s.end(result{version: s.version + 1, err: err})
	}
	g.steps = nil
}
