package claim

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/storage"
)

// Limits for determining the outcome of a batch.
const (
	// resolveTimeout bounds how long a batch tries to determine an unknown outcome
	// before it reports ErrOutcomeUnknown. The callers wait meanwhile.
	resolveTimeout = 5 * time.Second
	// callTimeout bounds one call to the table service.
	callTimeout = 2 * time.Second
	// initialBackoff and maxBackoff bound the wait between commit attempts.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
)

// batch is a set of transitions of different rows, committed in one transaction.
type batch struct {
	table       storage.Table
	transitions []*transition
	// outcomeUnknown reports that an earlier commit may have been applied or may
	// still be applied.
	outcomeUnknown bool
}

// run commits the batch and completes each of its transitions.
//
// A conflict writes nothing and reports only that some row had a different version.
// All rows are therefore read back, the transitions whose rows were changed by another
// writer are completed with errConflict, and the rest is committed again. An unknown
// outcome is resolved in the same way. Committing the same writes again is safe even
// if the first commit is applied later: both expect the same row versions, so only one
// of them takes effect.
func (b *batch) run() {
	ctx, cancel := context.WithTimeout(context.Background(), resolveTimeout)
	defer cancel()
	backoffPolicy := backoff.NewExponentialBackOff()
	backoffPolicy.InitialInterval = initialBackoff
	backoffPolicy.MaxInterval = maxBackoff
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		return struct{}{}, b.tryCommit(ctx)
	}, backoff.WithBackOff(backoffPolicy))
	if err == nil {
		return
	}
	b.completeAll(b.finalError(err))
}

// finalError returns the error for the transitions that remain when err ended the
// retries.
func (b *batch) finalError(err error) error {
	if b.outcomeUnknown {
		return errors.Join(ErrOutcomeUnknown, err)
	}
	return errors.Join(ErrUnavailable, err)
}

// tryCommit commits the remaining transitions. It returns nil once all are complete,
// and an error that is permanent if the table service is down and no earlier commit
// can have been applied.
func (b *batch) tryCommit(ctx context.Context) error {
	err := b.commit(ctx)
	switch {
	case err == nil:
		b.completeAll(nil)
		return nil
	case errors.Is(err, storage.ErrUnavailable) && !b.outcomeUnknown:
		return backoff.Permanent(err)
	case errors.Is(err, storage.ErrUnavailable):
		return err
	case errors.Is(err, storage.ErrConflict):
		return b.retryAfterConflict(ctx, err)
	}
	b.outcomeUnknown = true
	return b.readBack(ctx, err)
}

// retryAfterConflict completes the conflicting transitions and commits the rest
// without backoff, because their callers did not cause the conflict. If no
// transition could be completed, it returns conflict.
func (b *batch) retryAfterConflict(ctx context.Context, conflict error) error {
	previous := len(b.transitions)
	err := b.readBack(ctx, conflict)
	if err == nil || len(b.transitions) == previous {
		return err
	}
	return b.tryCommit(ctx)
}

// readBack reads the rows of all transitions and completes those whose outcome is
// known. It returns cause if any remain.
func (b *batch) readBack(ctx context.Context, cause error) error {
	remaining := b.transitions[:0:0]
	for _, t := range b.transitions {
		row, err := b.get(ctx, t.rowKey)
		exists := err == nil
		known := exists || errors.Is(err, storage.ErrNotFound)
		if known && t.resolve(row, exists) {
			continue
		}
		remaining = append(remaining, t)
	}
	b.transitions = remaining
	if len(b.transitions) == 0 {
		return nil
	}
	return cause
}

func (b *batch) commit(ctx context.Context) error {
	var writes []storage.Write
	for _, t := range b.transitions {
		w, err := t.writes()
		if err != nil {
			return err
		}
		writes = append(writes, w...)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return b.table.Commit(ctx, writes)
}

func (b *batch) get(ctx context.Context, key string) (storage.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return b.table.Get(ctx, key)
}

// completeAll completes the remaining transitions with err, which is nil after a
// successful commit.
func (b *batch) completeAll(err error) {
	for _, t := range b.transitions {
		t.complete(result{version: t.version + 1, err: err})
	}
	b.transitions = nil
}
