// Package follow keeps a copy of a table of the platform's store up to date: it
// reads the whole, then waits for changes, and begins again where the store
// has lost the history. Start reading at Follower.
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

// errHurried: a call was given up to be made anew.
var errPollCancelled = errors.New("call was given up to be made anew")

// ErrHistoryGone: the changes since a position can't be had any more; the
// whole has to be read.
var ErrHistoryGone = errors.New("history of the store is gone")

const (
	// firstPause and longestPause bound the pause after a failed call: short
	// enough that a store that is back is noticed within a fraction of the
	// two seconds in which its news has to be in force.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// recheckWait is how long the store may hold back an answer that is to come
	// at once.
	immediateWait = 50 * time.Millisecond
	// hurryEvery is how often is asked whether a call that is held back has to
	// hurry: short against the second or more that is left then.
	cancelCheckInterval = 200 * time.Millisecond
	// longestAway is for how long a follower that doesn't lead waits for the one
	// that does: a store may answer about one table and not about another.
	maxProbeWait = 3 * time.Second
	// gonePause is the pause before the whole is read again, so that a store
	// that keeps no history at all isn't read without end.
	rereadDelay = 50 * time.Millisecond
)

// Batch is the answer to a read: all that there is, or the changes.
type Batch[T any] struct {
	Items   []T
	Removed []string
	// Unreadable names the rows that could not be read. What that means for what
	// was known of them is the sink's to say.
	Unreadable []string
	// At is the position to go on from.
	At Position
	// More is where the next page of a whole table begins; empty after the last.
	More string
}

func (b *Batch[T]) empty() bool {
	return len(b.Items)+len(b.Removed)+len(b.Unreadable) == 0
}

// Source is a table of the store.
type Source[T any] interface {
	// Read returns the page of the whole table that begins at a place, empty for
	// the first.
	Read(ctx context.Context, from string) (Batch[T], error)
	// Next waits for changes after a position, up to wait; the batch may be
	// empty. ErrHistoryGone asks for a Read.
	Next(ctx context.Context, after Position, wait time.Duration) (Batch[T], error)
}

// Sink takes what a Follower learns. The moment is one, on the clock of
// boottime, before which everything that had happened is in the news: when the
// call was made, or, where the store held back an answer without news for the
// whole wait, when the wait was over.
type Sink[T any] interface {
	Reset(moment time.Duration, all Batch[T])
	Change(moment time.Duration, changes Batch[T])
	// Unavailable is told of each failed call, and Available of an answer that holds no
	// rows: the store answers, though it doesn't have the history that was asked for.
	Unavailable(err error)
	Available()
}

// Follower follows one table.
type Follower[T any] struct {
	// Name is what logs call the table.
	Name   string
	Source Source[T]
	Sink   Sink[T]
	// Wait is how long the store may hold back an answer without news, at the
	// most: each call's wait is drawn from the upper quarter, so that followers
	// that heard the same news don't all ask at the same time from then on. It
	// is asked for before each call.
	Wait func() time.Duration
	// Gather is the pause after news: what changes meanwhile comes with one
	// call, and each call is paid for.
	Gather time.Duration
	// Confirm says whether the first answer after news isn't to be held back: only
	// an answer without news proves what was the newest, and it would come late
	// by what the one with the news has used of its wait. May be nil, for never.
	Confirm func() bool
	// Hurry is asked while the store holds an answer back; when it says so the
	// call is given up and made anew, to be answered at once. May be nil.
	Hurry func() bool
	// Arriving says whether an answer is on its way, which isn't given up then; may
	// be nil.
	Arriving *atomic.Bool
	// Store is what all followers of one store know of its health; may be nil.
	// Leads says that this one asks while the store is away: the others wait for
	// its success, so that an outage costs the calls of one.
	Store *Health
	Leads bool
	// Idle says that others follow the table and tell what changes, so that the
	// store isn't asked; may be nil, for never.
	Idle func() bool
	// Defers says that other followers poll the table: after a loss of the history they read
	// it first. May be nil, for never.
	Defers func() bool
	// Asked is told of each call; may be nil.
	Asked func()
	// Restored counts the returns of the store from an older copy; may be nil.
	Restored func()
	Log      *zap.Logger

	// mu guards at, up to where the table is known, and the order of what the Sink
	// takes. It comes before the Sink's locks.
	mu       sync.Mutex
	position Position
	// recent is what changed last, and live says that the store is asked and answers.
	history history[T]
	live    atomic.Bool

	failing bool
	// hurried says that the last call was given up.
	pollCancelled bool
	// rested says that the store hasn't answered since this follower rested.
	wasIdle bool
	// gone says that the store didn't have the history since goneAt. What others tell may
	// lead on from there without a read of the whole.
	historyGone   bool
	historyGoneAt Position
	// news says that the last answer held some.
	changed bool
	// reading is what has been read of the whole table.
	fullRead pagedRead[T]
}

// Run follows until ctx ends.
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
			f.Store.markAvailable()
			f.Sink.Available()
			f.historyGone, f.historyGoneAt = true, f.Position()
			pause.For(ctx, rereadDelay)
			f.delayFullRead(ctx)
			continue
		case errors.Is(err, errPollCancelled):
			continue
		case ctx.Err() != nil:
			return
		}
		f.recordFailure(err)
		pause.For(ctx, backOff.NextBackOff())
		if f.Store != nil && !f.Leads {
			f.Store.waitAvailable(ctx, time.Now().Add(maxProbeWait))
		}
	}
}

// step makes one call and hands on what came.
func (f *Follower[T]) callOnce(ctx context.Context, tableRead bool) error {
	if f.Arriving != nil {
		ctx = withResponseStarted(ctx, func() { f.Arriving.Store(true) })
		defer f.Arriving.Store(false)
	}
	if f.Asked != nil {
		f.Asked()
	}
	asOf := boottime.Now()
	if !tableRead {
		if err := f.fullRead.read(ctx, f.Source); err != nil {
			return err
		}
		f.applyFullRead(f.fullRead.startedAt, f.fullRead.batch)
		f.fullRead = pagedRead[T]{}
		f.historyGone = false
		if f.Idle != nil {
			// Others tell in that time that they follow.
			pause.For(ctx, f.Gather)
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
	f.changed = !batch.empty()
	if !batch.empty() && f.Gather > 0 {
		pause.For(ctx, f.Gather)
	}
	return nil
}

// next waits for changes, unless it has to hurry.
func (f *Follower[T]) pollChanges(ctx context.Context, after Position, wait time.Duration) (Batch[T], error) {
	f.pollCancelled = false
	if f.Hurry == nil {
		return f.Source.Next(ctx, after, wait)
	}
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var cancelled atomic.Bool
	var watcher conc.WaitGroup
	watcher.Go(func() {
		for pause.For(callCtx, cancelCheckInterval); callCtx.Err() == nil; pause.For(callCtx, cancelCheckInterval) {
			if f.Hurry() && (f.Arriving == nil || !f.Arriving.Load()) {
				cancelled.Store(true)
				cancel()
			}
		}
	})
	batch, err := f.Source.Next(callCtx, after, wait)
	cancel()
	watcher.Wait()
	if err != nil && cancelled.Load() {
		f.pollCancelled = true
		return batch, errPollCancelled
	}
	return batch, err
}

// wait is how long the store may hold back the next answer. The first one after a
// failure comes at once, so that it is known when the store was back; the first
// one after a rest, so that others know soon that this one follows; the first
// one after news where it has to prove them.
func (f *Follower[T]) nextWait() time.Duration {
	longest := f.Wait()
	if f.failing || f.pollCancelled || f.wasIdle || f.changed && f.Confirm != nil && f.Confirm() {
		return min(longest, immediateWait)
	}
	// Whole milliseconds, in which stores count: one that is rounded down would
	// seem to have come early, and to prove nothing.
	return (longest - rand.N(longest/4+1)).Truncate(time.Millisecond)
}

// Always is a Wait that doesn't change.
func Always(wait time.Duration) func() time.Duration {
	return func() time.Duration { return wait }
}

func (f *Follower[T]) recordSuccess() {
	f.Store.markAvailable()
	f.live.Store(true)
	f.wasIdle = false
	if f.failing {
		f.failing = false
		f.Log.Info(logging.EventPlatformUp, zap.String("table", f.Name))
	}
}

func (f *Follower[T]) recordFailure(err error) {
	f.Store.markUnavailable()
	f.live.Store(false)
	f.Sink.Unavailable(err)
	if !f.failing {
		f.failing = true
		f.Log.Warn(logging.EventPlatformDown, zap.String("table", f.Name), logging.Reason(err.Error()))
	}
}
