// Package follow keeps a copy of a table of the platform's store up to date. It reads the complete
// table, then long-polls for changes, and reads the table again if the store no longer has the
// history of changes. Start reading at Follower.
package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/boottime"
	"github.com/applepier/applepier/internal/logging"
	"github.com/applepier/applepier/internal/pause"
)

// errPollCancelled means that a long poll was cancelled in order to repeat it with a short wait.
var errPollCancelled = errors.New("long poll was cancelled")

// errStaleRead means that the complete table that was read is older than the known one.
var errStaleRead = errors.New("full read is older than the known table")

// ErrHistoryGone means that the changes after a position are no longer available, so the complete
// table has to be read.
var ErrHistoryGone = errors.New("change history is no longer available")

const (
	// minRetryDelay and maxRetryDelay bound the delay after a failed call. A follower has to notice
	// that the store is back within a fraction of the two seconds in which changes have to take
	// effect.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// immediateWait is the wait of a long poll whose response is needed at once.
	immediateWait = 50 * time.Millisecond
	// cancelCheckInterval is how often ShouldCancelPoll is called during a long poll. It is short
	// compared with the time that remains for the repeated poll when ShouldCancelPoll first returns
	// true.
	cancelCheckInterval = 100 * time.Millisecond
	// minRepeatTime is how long a poll with a short wait may last before it is cancelled. Each further one
	// may last twice as long, so that a slow store can respond at all.
	minRepeatTime = 300 * time.Millisecond
	// maxRepeatDoublings bounds the time of repeated polls at more than their own timeout.
	maxRepeatDoublings = 3
	// maxProbeWait is how long a follower that doesn't probe the store waits for the one that does.
	// The limit is needed because a store may respond to calls for one table and not for another.
	maxProbeWait = 3 * time.Second
	// maxStaleReads is how long full reads that are older than the known table are repeated. Copies of
	// a store that are behind catch up within seconds.
	maxStaleReads = 5 * time.Second
	// rereadDelay is the delay before the complete table is read again, so that a store that keeps
	// no history isn't read in a tight loop.
	rereadDelay = 50 * time.Millisecond
)

// Batch is the response to a call: a page of the complete table, or changes.
type Batch[T any] struct {
	// Items are rows that were added or changed; in a page of the complete table, all its rows.
	Items []T
	// Removed names the rows that were removed.
	Removed []string
	// Unreadable names the rows that couldn't be decoded. The Sink decides whether to keep their
	// earlier values.
	Unreadable []string
	// Position is the position after which to continue.
	Position Position
	// NextPage is where the next page of the complete table begins; empty on the last page.
	NextPage string
}

func (b *Batch[T]) empty() bool {
	return len(b.Items)+len(b.Removed)+len(b.Unreadable) == 0
}

// Source is a table of the store.
type Source[T any] interface {
	// Read returns the page of the complete table that begins at from, which is empty for the first
	// page.
	Read(ctx context.Context, from string) (Batch[T], error)
	// Next waits up to wait for changes after a position; the batch may be empty. It returns
	// ErrHistoryGone if the complete table has to be read.
	Next(ctx context.Context, after Position, wait time.Duration) (Batch[T], error)
}

// Sink receives the table and its changes from a Follower. The asOf time is on the boottime
// clock; the batch reflects all changes made before it. It is the time at which the call was made or,
// if the store sent a response without changes only after the complete wait, the end of that wait.
type Sink[T any] interface {
	// Reset replaces the table, and Change applies changes to it.
	Reset(asOf time.Duration, table Batch[T])
	Change(asOf time.Duration, changes Batch[T])
	// Unavailable is called after each failed call. Available is called if the store responds that
	// it no longer has the requested history.
	Unavailable(err error)
	Available()
}

// Follower follows one table.
type Follower[T any] struct {
	// Name is the table's name in log lines.
	Name   string
	Source Source[T]
	Sink   Sink[T]
	// MaxWait returns the maximum time for which the store may hold back a response without
	// changes. It is called before each call. The actual wait is drawn from the upper quarter of
	// the range, so that followers that received the same change don't all call at the same time
	// from then on.
	MaxWait func() time.Duration
	// CoalesceDelay is the delay after a change. Further changes during the delay are returned by a
	// single call, which matters because each call is paid for.
	CoalesceDelay time.Duration
	// ConfirmChanges reports whether the first call after a change uses a short wait. Only a
	// response without changes confirms that the known state is the newest. With a full wait after
	// a change that came at the end of a wait, the last confirmation would get as old as two waits.
	// May be nil, which means never.
	ConfirmChanges func() bool
	// OnResponse is called after each response has been applied, with the position up to which it shows
	// the store and the time as of which it does; may be nil.
	OnResponse func(asOf time.Duration, newest Position)
	// ShouldCancelPoll is called during a long poll. If it returns true, the poll is cancelled and
	// repeated with a short wait. May be nil.
	ShouldCancelPoll func() bool
	// Receiving is set while a response is being received; a long poll isn't cancelled then. May be
	// nil.
	Receiving *atomic.Bool
	// StoreHealth is shared by all followers of one store; may be nil. ProbesStore is set for the
	// follower that keeps calling the store while it is unavailable. The others wait until that one
	// succeeds, so that an outage costs the calls of one follower only.
	StoreHealth *Health
	ProbesStore bool
	// Idle reports whether other gateways poll the table and share its changes, so that this
	// follower needn't call the store. May be nil, which means never.
	Idle func() bool
	// DefersFullRead reports whether this follower delays a full read after a loss of the history,
	// so that the gateways that poll the table read it first and share it. May be nil, which means
	// never.
	DefersFullRead func() bool
	// Overdue reports whether the known table is older than it can get while other gateways share its
	// changes. The follower then polls whatever Idle says, and delays no full read. May be nil, which
	// means never.
	Overdue func() bool
	// OnCall is called before each call; may be nil.
	OnCall func()
	// OnRestore is called when the store was restored from an older copy; may be nil.
	OnRestore func()
	Log       *zap.Logger

	// mu guards the position and learnedAt. It is held during calls of the Sink that change
	// the table, so that the Sink has the table as of position, and is locked before the Sink's locks.
	mu sync.Mutex
	// position is the position up to which the table is known; 0 before it has been read.
	position Position
	// learnedAt is when the position last became known, on the boottime clock.
	learnedAt time.Duration
	// confirmedAt is the latest time as of which the store has confirmed that the table is complete, in
	// nanoseconds of the boottime clock; 0 for never. It is written while mu is held, after the changes
	// that it covers, and read without mu: gateways send it while they hold locks for which a Sink may
	// wait.
	confirmedAt atomic.Int64
	// history holds the latest changes.
	history history[T]
	// live is set while this follower polls the store and the store responds.
	live atomic.Bool

	// failing is set from a failed call until the next call that succeeds.
	failing bool
	// cancelledPolls is the number of polls that were cancelled since the last response or failure.
	cancelledPolls int
	// wasIdle is set until the store has responded for the first time after an idle period.
	wasIdle bool
	// historyGone is set if the store didn't have the history after historyGoneAt. Changes that
	// other gateways share may continue from there without a full read.
	historyGone   bool
	historyGoneAt Position
	// changed is set if the last response held changes.
	changed bool
	// staleReadsSince is when full reads began to be older than the known table; zero if the last one
	// wasn't.
	staleReadsSince time.Time
	// fullRead holds the pages of the complete table that were read so far.
	fullRead pagedRead[T]
}

// Run follows the table until ctx ends.
func (f *Follower[T]) Run(ctx context.Context) {
	backOff := backoff.NewExponentialBackOff()
	backOff.InitialInterval, backOff.MaxInterval = minRetryDelay, maxRetryDelay
	tableRead := false
	for ctx.Err() == nil {
		if tableRead {
			f.waitWhileIdle(ctx)
		}
		err := f.callOnce(ctx, tableRead && !(f.historyGone && f.Position() == f.historyGoneAt))
		switch {
		case err == nil:
			tableRead = true
			f.recordSuccess()
			backOff.Reset()
			continue
		case errors.Is(err, ErrHistoryGone):
			f.StoreHealth.markAvailable()
			f.Sink.Available()
			f.historyGone, f.historyGoneAt = true, f.Position()
			pause.Sleep(ctx, rereadDelay)
			f.delayFullRead(ctx)
			continue
		case errors.Is(err, errPollCancelled):
			continue
		case errors.Is(err, errStaleRead):
			f.StoreHealth.markAvailable()
			pause.Sleep(ctx, maxRetryDelay)
			continue
		case ctx.Err() != nil:
			return
		}
		f.recordFailure(err)
		pause.Sleep(ctx, backOff.NextBackOff())
		if f.StoreHealth != nil && !f.ProbesStore {
			f.StoreHealth.waitAvailable(ctx, time.Now().Add(maxProbeWait))
		}
	}
}

// callOnce polls once for changes if canPoll is set, reads the complete table otherwise, and applies
// the result. Errors: ErrHistoryGone, errPollCancelled, errStaleRead and those of the Source.
func (f *Follower[T]) callOnce(ctx context.Context, canPoll bool) error {
	if f.Receiving != nil {
		ctx = withResponseStarted(ctx, func() { f.Receiving.Store(true) })
		defer f.Receiving.Store(false)
	}
	if f.OnCall != nil {
		f.OnCall()
	}
	asOf := boottime.Now()
	if !canPoll {
		if err := f.fullRead.read(ctx, f.Source); err != nil {
			return err
		}
		table, startedAt := f.fullRead.batch, f.fullRead.startedAt
		f.fullRead = pagedRead[T]{}
		if err := f.applyFullRead(startedAt, table); err != nil {
			return err
		}
		f.notifyResponse(startedAt, table.Position)
		f.historyGone = false
		if f.Idle != nil {
			// Peers announce during this delay whether they follow the table.
			pause.Sleep(ctx, f.CoalesceDelay)
		}
		return nil
	}
	wait := f.nextWait()
	batch, err := f.pollChanges(ctx, f.Position(), wait)
	if err != nil {
		return err
	}
	if elapsed := boottime.Now() - asOf; batch.empty() && elapsed >= wait {
		asOf += wait
	}
	f.applyChanges(asOf, batch)
	f.notifyResponse(asOf, batch.Position)
	f.changed = !batch.empty()
	if !batch.empty() && f.CoalesceDelay > 0 {
		pause.Sleep(ctx, f.CoalesceDelay)
	}
	return nil
}

func (f *Follower[T]) notifyResponse(asOf time.Duration, newest Position) {
	if f.OnResponse != nil {
		f.OnResponse(asOf, newest)
	}
}

// pollChanges waits for changes unless ShouldCancelPoll cancels the call.
func (f *Follower[T]) pollChanges(ctx context.Context, after Position, wait time.Duration) (Batch[T], error) {
	if f.ShouldCancelPoll == nil {
		return f.Source.Next(ctx, after, wait)
	}
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var cancelled atomic.Bool
	var watcher conc.WaitGroup
	watcher.Go(func() {
		for pause.Sleep(callCtx, f.timeBeforeCancel(wait)); callCtx.Err() == nil; pause.Sleep(callCtx, cancelCheckInterval) {
			if f.ShouldCancelPoll() && (f.Receiving == nil || !f.Receiving.Load()) {
				cancelled.Store(true)
				cancel()
			}
		}
	})
	batch, err := f.Source.Next(callCtx, after, wait)
	cancel()
	watcher.Wait()
	if err != nil && cancelled.Load() {
		f.cancelledPolls++
		return batch, errPollCancelled
	}
	f.cancelledPolls = 0
	return batch, err
}

// timeBeforeCancel returns how long a poll with the given wait lasts before ShouldCancelPoll is called
// for the first time.
func (f *Follower[T]) timeBeforeCancel(wait time.Duration) time.Duration {
	if wait > immediateWait {
		return cancelCheckInterval
	}
	return minRepeatTime << min(max(f.cancelledPolls-1, 0), maxRepeatDoublings)
}

// nextWait returns the wait of the next call. The wait is short after a failure, so that the response
// shows at once that the store is back; after a cancelled poll; after an idle period, so that this
// follower soon announces to its peers that it polls; and after changes that have to be confirmed.
func (f *Follower[T]) nextWait() time.Duration {
	longest := f.MaxWait()
	if f.failing || f.cancelledPolls > 0 || f.wasIdle || f.changed && f.ConfirmChanges != nil && f.ConfirmChanges() {
		return min(longest, immediateWait)
	}
	// Stores count whole milliseconds. If the store rounded the wait down, its response would seem
	// to have come early and wouldn't count as of the end of the wait.
	return (longest - rand.N(longest/4+1)).Truncate(time.Millisecond)
}

// FixedWait returns a function for MaxWait that always returns the given wait.
func FixedWait(wait time.Duration) func() time.Duration {
	return func() time.Duration { return wait }
}

func (f *Follower[T]) recordSuccess() {
	f.StoreHealth.markAvailable()
	f.live.Store(true)
	f.wasIdle = false
	if f.failing {
		f.failing = false
		f.Log.Info(logging.EventPlatformUp, zap.String("table", f.Name))
	}
}

func (f *Follower[T]) recordFailure(err error) {
	f.StoreHealth.markUnavailable()
	f.live.Store(false)
	f.Sink.Unavailable(err)
	if !f.failing {
		f.failing = true
		f.Log.Warn(logging.EventPlatformDown, zap.String("table", f.Name), logging.Reason(err.Error()))
	}
}
