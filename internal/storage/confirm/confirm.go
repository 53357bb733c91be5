// Package confirm commits writes to the table service and determines their
// outcome. If a response is lost, it reads the rows back to find out whether the
// writes took effect. Start reading at Commit.
package confirm

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/storage"
)

// Errors returned by Commit.
var (
	// ErrUnavailable means that the service did not accept the writes;
	// nothing was written and nothing will be.
	ErrUnavailable = errors.New("table service is unavailable, nothing was written")
	// ErrConflict means that another writer changed a row first; nothing was
	// written and nothing will be.
	ErrConflict = errors.New("another writer changed the row first")
	// ErrOutcomeUnknown means that the outcome could not be determined within
	// Timeout: the writes may have taken effect or may still take effect.
	ErrOutcomeUnknown = errors.New("outcome of the write could not be determined in time")
)

// Timing of Commit.
const (
	// Timeout limits how long Commit tries to determine the outcome. An
	// operator waits for it, and it must be well below the 14 seconds within
	// which a change has to be in force.
	Timeout = 5 * time.Second
	// callTimeout limits one call, so that time is left to read back after a
	// call that never returns.
	callTimeout = 2 * time.Second
	// initialBackoff and maxBackoff limit the pauses between attempts.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
)

// Outcome is the result of reading back.
type Outcome int

// Outcomes of reading back.
const (
	// Pending means that the rows are unchanged. They may still be written,
	// because the request may be delayed on its way to the service.
	Pending Outcome = iota + 1
	// Written means that the writes took effect.
	Written
	// Superseded means that another writer changed the rows, so that these
	// writes can no longer take effect.
	Superseded
)

// ReadBack reads the rows and determines whether the writes took effect. It must
// identify them by an ID that is unique to these writes.
type ReadBack func(ctx context.Context) (Outcome, error)

// Commit commits the writes, at least one of which must expect a version. It
// returns nil, ErrUnavailable, ErrConflict or ErrOutcomeUnknown.
//
// While the outcome is unknown, it reads the rows back and, if they are
// unchanged, commits the same writes again. At most one of these commits can take
// effect, because they all expect the same version. Reporting failure as soon as the
// rows are found unchanged would be wrong, because a delayed request could still
// be applied.
func Commit(ctx context.Context, table storage.Table, writes []storage.Write, readBack ReadBack) error {
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	op := commitOperation{table: table, writes: writes, readBack: readBack}
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = initialBackoff
	policy.MaxInterval = maxBackoff
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		return struct{}{}, op.try(ctx)
	}, backoff.WithBackOff(policy), backoff.WithMaxElapsedTime(Timeout))
	switch {
	case err == nil:
		return nil
	case errors.Is(err, ErrConflict), errors.Is(err, ErrUnavailable):
		return err
	}
	return errors.Join(ErrOutcomeUnknown, err)
}

// commitOperation is the state of one call of Commit.
type commitOperation struct {
	table    storage.Table
	writes   []storage.Write
	readBack ReadBack
	// outcomeUnknown is true if an earlier attempt may have taken effect or
	// may still take effect.
	outcomeUnknown bool
}

// try makes one attempt. It returns nil once the writes have taken effect, and a
// permanent error once they can't take effect any more.
func (op *commitOperation) try(ctx context.Context) error {
	err := op.commit(ctx)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, storage.ErrUnavailable):
		return op.rejected(err, ErrUnavailable)
	case errors.Is(err, storage.ErrConflict) && !op.outcomeUnknown:
		return backoff.Permanent(ErrConflict)
	}
	op.outcomeUnknown = true
	return op.checkOutcome(ctx)
}

func (op *commitOperation) commit(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return op.table.Commit(ctx, op.writes)
}

// rejected returns final as a permanent error, or err if the outcome of an
// earlier attempt is unknown.
func (op *commitOperation) rejected(err, final error) error {
	if op.outcomeUnknown {
		return err
	}
	return backoff.Permanent(final)
}

// checkOutcome reads the rows back and maps the outcome to the result of an
// attempt.
func (op *commitOperation) checkOutcome(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	outcome, err := op.readBack(ctx)
	switch {
	case err != nil:
		return err
	case outcome == Written:
		return nil
	case outcome == Superseded:
		return backoff.Permanent(ErrConflict)
	}
	return storage.ErrOutcomeUnknown
}
