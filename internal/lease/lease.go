// Package lease provides leases with fencing tokens, stored as rows in the table
// service: at most one process at a time holds a lease and acts on behalf of all.
// Start reading at Lease; most callers want an Elector.
//
// # Clocks
//
// Timestamps of different VMs are never compared. A holder measures its lease
// from before it sent the write that the table service confirmed, and stops
// SafetyMargin before the end of Duration. A candidate measures from when it first
// read the row's latest write, which is later, and may acquire the lease once the
// row has not changed for Duration plus clockDriftMargin on its own monotonic
// clock. In a new era of the table service, which has no row of the lease yet, it
// waits as long from when it first read so. Two clocks may therefore differ in rate by a tenth, far more than they do
// in practice.
//
// A suspended holder detects that its lease has expired by the clock that has
// advanced further: the monotonic clock keeps running while a process is stopped
// (SIGSTOP) but may stand still while the whole VM is suspended; the wall clock is
// set forward when a suspended VM resumes. If the platform resumes a VM with both
// clocks behind, only the fencing token protects the data. It increases with each
// change of holder, Lease.Commit writes nothing under an old one, and receivers of
// orders reject it (package orders). The same holds for a holder that is suspended
// after Lease.Check and before it acts on the result.
package lease

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/applepier/applepier/internal/storage"
	"github.com/applepier/applepier/internal/storage/confirm"
)

// Defaults of a lease's timing. Work done under a lease with these defaults may be
// interrupted for half a minute when its holder fails, so the lease can be long
// and renewals infrequent.
const (
	// DefaultDuration is how long the lease is valid after a write of its row.
	DefaultDuration = 15 * time.Second
	// DefaultSafetyMargin is how long before the end of DefaultDuration a holder
	// stops, so that it has time to finish its work.
	DefaultSafetyMargin = 3 * time.Second
	// DefaultRenewInterval leaves time for two more attempts after a failed renewal.
	DefaultRenewInterval = 4 * time.Second
)

// Lease is one process's handle on a named lease. It is safe for concurrent use.
//
// Lock order: writeSem before mu.
type Lease struct {
	table  storage.Table
	rowKey string
	holder string
	timing Timing

	// writeSem is a semaphore that serializes writes of the row, so that this
	// process never conflicts with itself.
	writeSem chan struct{}

	mu sync.Mutex
	// fencingToken is the fencing token of the lease held; zero while it is not held.
	fencingToken uint64
	// renewedAt is when the last confirmed write of the row was sent.
	renewedAt time.Time
	// observedWrite is the ID of another holder's latest write; observedAt is when
	// it was first read.
	observedWrite string
	observedAt    time.Time
	// observedEra is an era without a row of the lease; observedEraAt is when it was
	// first read.
	observedEra   uint64
	observedEraAt time.Time
	// everHeld is set once this process has held the lease.
	everHeld bool
	// supersededAt is when this process, after it last acquired the lease, first
	// saw another holder or a higher fencing token; zero if it has seen neither.
	supersededAt time.Time
}

// New returns a handle on the named lease, which is not held yet. The holder
// identifies the process to operators; each Lease is a separate holder, even under
// the same name.
func New(table storage.Table, name, holder string) *Lease {
	return NewWithTiming(table, name, holder, defaultTiming())
}

// NewWithTiming is like New, with a timing other than the default.
func NewWithTiming(table storage.Table, name, holder string, timing Timing) *Lease {
	return &Lease{table: table, rowKey: rowKey(name), holder: holder + "/" + uuid.NewString(), timing: timing, writeSem: make(chan struct{}, 1)}
}

// Acquire tries once to acquire the lease. Errors: HeldError; ErrLost if another
// candidate acquired it first; ErrUnavailable; ErrCorrupt.
func (l *Lease) Acquire(ctx context.Context) error {
	if err := l.beginWrite(ctx); err != nil {
		return err
	}
	defer l.endWrite()
	sentAt := time.Now()
	current, err := readRecord(ctx, l.table, l.rowKey)
	if err != nil {
		return err
	}
	if wait := l.acquireWait(current); wait > 0 {
		return &HeldError{Holder: current.record.Holder, Wait: wait}
	}
	next := record{WriteID: uuid.NewString(), Holder: l.holder, FencingToken: NextFencingToken(current.record.FencingToken, current.era)}
	var earlierRows []storage.Write
	if current.version == 0 {
		if earlierRows, err = l.earlierRowWrites(current.era); err != nil {
			return err
		}
	}
	if err := l.writeRow(ctx, current, next, earlierRows); err != nil {
		return err
	}
	l.markHeld(next.FencingToken, sentAt)
	return nil
}

// Renew extends the lease, so that it expires Duration from now. Errors: those of Commit.
func (l *Lease) Renew(ctx context.Context) error {
	return l.Commit(ctx, nil)
}

// Commit renews the lease and applies the writes in one transaction, so that
// none of them takes effect once another process holds the lease, however late
// they arrive. Errors: ErrLost, after which the lease is no longer held; ErrConflict
// if one of the rows was not at the expected version; ErrUnavailable, after which the
// lease remains held until it expires and the writes may have taken effect; ErrCorrupt.
func (l *Lease) Commit(ctx context.Context, writes []storage.Write) error {
	if err := l.beginWrite(ctx); err != nil {
		return err
	}
	defer l.endWrite()
	if err := l.Check(); err != nil {
		return err
	}
	fencingToken := l.FencingToken()
	sentAt := time.Now()
	current, err := readRecord(ctx, l.table, l.rowKey)
	if err != nil {
		return err
	}
	if current.record.FencingToken != fencingToken {
		l.markLost()
		return ErrLost
	}
	next := record{WriteID: uuid.NewString(), Holder: l.holder, FencingToken: fencingToken}
	if err := l.writeRow(ctx, current, next, writes); err != nil {
		return l.classifyConflict(ctx, fencingToken, err)
	}
	l.markHeld(fencingToken, sentAt)
	return nil
}

// Release gives up the lease, so that a candidate need not wait for it to
// expire. The caller must have stopped acting under it. Errors: ErrUnavailable,
// ErrLost, ErrCorrupt, after which the row may not be marked as released and candidates
// wait for the lease to expire.
func (l *Lease) Release(ctx context.Context) error {
	if err := l.beginWrite(ctx); err != nil {
		return err
	}
	defer l.endWrite()
	fencingToken := l.FencingToken()
	l.markReleased()
	if fencingToken == 0 {
		return nil
	}
	current, err := readRecord(ctx, l.table, l.rowKey)
	if err != nil {
		return err
	}
	if current.record.FencingToken != fencingToken {
		return nil
	}
	next := record{WriteID: uuid.NewString(), Holder: l.holder, FencingToken: fencingToken, Released: true}
	return l.writeRow(ctx, current, next, nil)
}

// beginWrite waits for other writes of this process to finish. It returns
// ErrUnavailable if ctx ends first.
func (l *Lease) beginWrite(ctx context.Context) error {
	select {
	case l.writeSem <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errors.Join(ErrUnavailable, ctx.Err())
	}
}

func (l *Lease) endWrite() { <-l.writeSem }

// classifyConflict turns ErrLost into ErrConflict if a transaction failed on
// another row while this process still holds the lease.
func (l *Lease) classifyConflict(ctx context.Context, fencingToken uint64, err error) error {
	if !errors.Is(err, ErrLost) {
		return err
	}
	current, readErr := readRecord(ctx, l.table, l.rowKey)
	switch {
	case readErr != nil:
		return readErr
	case current.record.FencingToken == fencingToken:
		return ErrConflict
	}
	l.markLost()
	return ErrLost
}

// writeRow replaces the row last read as current with next, in one transaction
// with the other writes.
func (l *Lease) writeRow(ctx context.Context, current storedRecord, next record, others []storage.Write) error {
	write, err := next.rowWrite(l.rowKeyIn(current.era), current.version)
	if err != nil {
		return err
	}
	writes := append([]storage.Write{write}, others...)
	err = confirm.Commit(ctx, l.table, writes, func(ctx context.Context) (confirm.Outcome, error) {
		return readBack(ctx, l.table, l.rowKey, current, next.WriteID)
	})
	switch {
	case err == nil:
		return nil
	case errors.Is(err, confirm.ErrConflict):
		return ErrLost
	}
	return errors.Join(ErrUnavailable, err)
}
