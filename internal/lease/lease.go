// Package lease lets one process at a time act for all, by a row in the table
// service. Start reading at Lease; most callers want a Keeper.
//
// # Clocks
//
// No clock is compared with another VM's. A holder counts from before it sent
// the write that the table service confirmed, and stops Margin before the end
// of Duration. A challenger counts from when it first read the row's latest
// write, which is later, and may take the lease once the row is unchanged for
// Duration and challengeMargin on its own monotonic clock. Two clocks may
// therefore differ in rate by a tenth, which is far more than they do.
//
// A holder that was stopped finds its lease lapsed by the longer of two
// clocks: the monotonic clock runs on while a process is stopped (SIGSTOP) but
// may stand still while the whole VM is suspended; the wall clock is set
// forward when a suspended VM resumes. If the platform resumes a VM with both
// clocks behind, only the fencing number is left: it grows with each change of
// holder, Lease.Commit writes nothing under an old one, and receivers of
// orders refuse it (package orders). The same holds for a holder that is
// stopped between its check and its act.
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

// Timing of leases. What is done under a lease may pause for half a minute
// when its holder dies, so the lease can be long and renewals cheap.
const (
	// Duration is how long a write of the row holds.
	Duration = 15 * time.Second
	// Margin is how long before the end of Duration a holder stops: the time
	// it needs to end what it does.
	Margin = 3 * time.Second
	// RenewInterval leaves a holder two more tries after one that failed.
	RenewInterval = 4 * time.Second
)

// Lease is one process's part in a lease. It is safe for concurrent use.
//
// Lock order: writing before mu.
type Lease struct {
	table  storage.Table
	row    string
	holder string
	timing Timing

	// writing holds a token through each write of the row, so that this process
	// never competes with itself.
	writing chan struct{}

	mu sync.Mutex
	// fence is the number of the lease held, zero when none is.
	fence uint64
	// since is when the write that is in force was sent.
	since time.Time
	// seen is the latest write of another holder, first read at seenAt.
	seen   string
	seenAt time.Time
	// held says that this process has held the lease, and deposedAt when another holder
	// was met after that; zero for not since.
	held      bool
	deposedAt time.Time
}

// New returns a process's part in the named lease, which is not held yet. The
// holder names the process for operators; each Lease is a holder of its own,
// also under the same name.
func New(table storage.Table, name, holder string) *Lease {
	return NewTimed(table, name, holder, usual())
}

// NewTimed is New for a lease with a timing of its own.
func NewTimed(table storage.Table, name, holder string, timing Timing) *Lease {
	return &Lease{table: table, row: rowKey(name), holder: holder + "/" + uuid.NewString(), timing: timing, writing: make(chan struct{}, 1)}
}

// Acquire tries once to get the lease. Errors: HeldError, ErrUnavailable,
// ErrLost when another challenger was faster.
func (l *Lease) Acquire(ctx context.Context) error {
	if err := l.beginWrite(ctx); err != nil {
		return err
	}
	defer l.endWrite()
	sent := time.Now()
	now, err := read(ctx, l.table, l.row)
	if err != nil {
		return err
	}
	if wait := l.wait(now); wait > 0 {
		return &HeldError{Holder: now.record.Holder, Wait: wait}
	}
	next := record{Write: uuid.NewString(), Holder: l.holder, Fence: NextFence(now.record.Fence, now.era)}
	var earlier []storage.Write
	if now.version == 0 {
		if earlier, err = l.closeEarlier(now.era); err != nil {
			return err
		}
	}
	if err := l.write(ctx, now, next, earlier); err != nil {
		return err
	}
	l.hold(next.Fence, sent)
	return nil
}

// Renew extends the lease. Errors: ErrLost, after which it is no longer held;
// ErrUnavailable, after which it still holds until its end.
func (l *Lease) Renew(ctx context.Context) error {
	return l.Commit(ctx, nil)
}

// Commit renews the lease and applies the writes in one transaction, so that
// none of them takes effect once another process holds the lease, however
// late they arrive. Errors: ErrLost; ErrConflict when a row of the writes was
// at another version; ErrUnavailable, after which the lease still holds until
// its end, and the writes may have taken effect.
func (l *Lease) Commit(ctx context.Context, writes []storage.Write) error {
	if err := l.beginWrite(ctx); err != nil {
		return err
	}
	defer l.endWrite()
	if err := l.Check(); err != nil {
		return err
	}
	fence := l.Fence()
	sent := time.Now()
	now, err := read(ctx, l.table, l.row)
	if err != nil {
		return err
	}
	if now.record.Fence != fence {
		l.drop()
		return ErrLost
	}
	next := record{Write: uuid.NewString(), Holder: l.holder, Fence: fence}
	if err := l.write(ctx, now, next, writes); err != nil {
		return l.refine(ctx, fence, err)
	}
	l.hold(fence, sent)
	return nil
}

// Release gives the lease up, so that a challenger needn't wait. The caller
// must have stopped acting.
func (l *Lease) Release(ctx context.Context) error {
	if err := l.beginWrite(ctx); err != nil {
		return err
	}
	defer l.endWrite()
	fence := l.Fence()
	l.drop()
	if fence == 0 {
		return nil
	}
	now, err := read(ctx, l.table, l.row)
	if err != nil {
		return err
	}
	if now.record.Fence != fence {
		return nil
	}
	next := record{Write: uuid.NewString(), Holder: l.holder, Fence: fence, Released: true}
	return l.write(ctx, now, next, nil)
}

// beginWrite waits until no other write of this process is under way; ErrUnavailable if
// ctx ends first.
func (l *Lease) beginWrite(ctx context.Context) error {
	select {
	case l.writing <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errors.Join(ErrUnavailable, ctx.Err())
	}
}

func (l *Lease) endWrite() { <-l.writing }

// refine finds out whether a conflict was about the lease or about the other
// rows of a transaction.
func (l *Lease) refine(ctx context.Context, fence uint64, err error) error {
	if !errors.Is(err, ErrLost) {
		return err
	}
	now, readErr := read(ctx, l.table, l.row)
	switch {
	case readErr != nil:
		return readErr
	case now.record.Fence == fence:
		return ErrConflict
	}
	l.drop()
	return ErrLost
}

// write replaces the row as read by next, together with the other writes.
func (l *Lease) write(ctx context.Context, now stored, next record, others []storage.Write) error {
	write, err := next.write(l.rowIn(now.era), now.version)
	if err != nil {
		return err
	}
	writes := append([]storage.Write{write}, others...)
	err = confirm.Commit(ctx, l.table, writes, func(ctx context.Context) (confirm.Verdict, error) {
		return verdict(ctx, l.table, l.row, now, next.Write)
	})
	switch {
	case err == nil:
		return nil
	case errors.Is(err, confirm.ErrConflict):
		return ErrLost
	}
	return errors.Join(ErrUnavailable, err)
}
