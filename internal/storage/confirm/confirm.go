// Package confirm writes to the table service and returns only once the
// outcome is known, or says that it isn't. A lost acknowledgement is settled
// by reading back. Start reading at Commit.
package confirm

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/storage"
)

// Errors of Commit.
var (
	// ErrUnavailable: the service did not take the writes; nothing was
	// written and nothing will be.
	ErrUnavailable = errors.New("table service is unavailable, nothing was written")
	// ErrConflict: another writer was first; nothing was written and nothing
	// will be.
	ErrConflict = errors.New("another writer was first")
	// ErrUnsettled: the writes may have taken effect, or may yet, and the
	// service did not say in time.
	ErrUnsettled = errors.New("outcome of the write could not be settled in time")
)

// Bounds of settling a write.
const (
	// Limit is how long Commit tries to settle an unknown outcome. An
	// operator waits for it; the limit is well below the 14 seconds in which
	// a change has to be in force.
	Limit = 5 * time.Second
	// callLimit bounds one call, so that a call that never returns leaves
	// time to read back.
	callLimit = 2 * time.Second
	// firstPause and longestPause bound the pauses between tries.
	firstPause   = 20 * time.Millisecond
	longestPause = 500 * time.Millisecond
)

// Verdict is what reading back showed.
type Verdict int

// Verdicts of reading back.
const (
	// Pending: the rows are as they were before the writes. That doesn't
	// mean that they won't be written: the call may still be on its way.
	Pending Verdict = iota + 1
	// Written: the writes took effect.
	Written
	// Overtaken: another writer changed the rows, so that these writes can
	// no longer take effect.
	Overtaken
)

// ReadBack reads the rows and finds out whether the writes took effect. It
// recognizes them by an id that is unique to them.
type ReadBack func(ctx context.Context) (Verdict, error)

// Commit commits the writes, at least one of which must expect a version.
//
// While the outcome is unknown it reads back, and commits the same writes
// again if the rows are unchanged: at most one of the two can take effect,
// since both expect the same version. Stopping at "unchanged" instead would
// be wrong, because a delayed call could still land.
func Commit(ctx context.Context, table storage.Table, writes []storage.Write, readBack ReadBack) error {
	ctx, cancel := context.WithTimeout(ctx, Limit)
	defer cancel()
	a := attempt{table: table, writes: writes, readBack: readBack}
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = firstPause
	pauses.MaxInterval = longestPause
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		return struct{}{}, a.try(ctx)
	}, backoff.WithBackOff(pauses), backoff.WithMaxElapsedTime(Limit))
	switch {
	case err == nil:
		return nil
	case errors.Is(err, ErrConflict), errors.Is(err, ErrUnavailable):
		return err
	}
	return errors.Join(ErrUnsettled, err)
}

// attempt is one Commit in progress.
type attempt struct {
	table    storage.Table
	writes   []storage.Write
	readBack ReadBack
	// doubt says that an earlier try may have taken effect, or may yet.
	doubt bool
}

func (a *attempt) try(ctx context.Context) error {
	err := a.commit(ctx)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, storage.ErrUnavailable):
		return a.refused(err, ErrUnavailable)
	case errors.Is(err, storage.ErrConflict) && !a.doubt:
		return backoff.Permanent(ErrConflict)
	}
	a.doubt = true
	return a.settle(ctx)
}

func (a *attempt) commit(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	return a.table.Commit(ctx, a.writes)
}

// refused turns a certain refusal into a final error, unless an earlier try is
// still in doubt.
func (a *attempt) refused(err, final error) error {
	if a.doubt {
		return err
	}
	return backoff.Permanent(final)
}

func (a *attempt) settle(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	verdict, err := a.readBack(ctx)
	switch {
	case err != nil:
		return err
	case verdict == Written:
		return nil
	case verdict == Overtaken:
		return backoff.Permanent(ErrConflict)
	}
	return storage.ErrOutcomeUnknown
}
