package follow

import (
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/logging"
)

// ErrGap: steps begin after the position that they are to follow.
var ErrGap = errors.New("changes in between are missing")

// Changed is the position after the newest change that this follower knows of, from
// the store or from another gateway; 0 for none since it read the whole table.
func (f *Follower[T]) Changed() Position { return f.history.lastChange() }

// Known is the same, or, for none, the position at which the whole table was read: what
// had changed before that it knows, but not what it was.
func (f *Follower[T]) Known() Position { return f.history.lastKnown() }

// Since returns what changed after a position; false if not all of it is known.
func (f *Follower[T]) Since(after Position) ([]Step[T], bool) { return f.history.since(after) }

// Position is up to where the table is known; 0 before it has been read.
func (f *Follower[T]) Position() Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position
}

// Live reports whether the store is asked and answers.
func (f *Follower[T]) Live() bool { return f.live.Load() }

// Take takes what another follower of the table had from the store, as far as it is
// news; ErrGap if it begins too late.
func (f *Follower[T]) Take(asOf time.Duration, deltas []Step[T]) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, delta := range deltas {
		if delta.To <= f.position {
			continue
		}
		if delta.Whole && f.position != 0 && delta.To.Era() > f.position.Era() {
			f.replaceLocked(asOf, Batch[T]{Items: delta.Items, Unreadable: delta.Unreadable, At: delta.To})
			continue
		}
		if delta.From > f.position || delta.From.Era() != f.position.Era() || f.position == 0 {
			return ErrGap
		}
		f.Sink.Change(asOf, Batch[T]{Items: delta.Items, Removed: delta.Removed, Unreadable: delta.Unreadable, At: delta.To})
		f.position = delta.To
		f.history.add(delta)
	}
	return nil
}

// reset takes the whole table.
func (f *Follower[T]) applyFullRead(asOf time.Duration, table Batch[T]) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replaceLocked(asOf, table)
}

// restart takes the whole table; f.mu is held. After a return of the store from an older
// copy other followers can go on from it: not all of them have to read it.
func (f *Follower[T]) replaceLocked(asOf time.Duration, table Batch[T]) {
	var snapshot *Step[T]
	if f.position != 0 && table.At.Era() > f.position.Era() {
		f.Log.Warn(logging.EventStoreRestored, zap.String("table", f.Name),
			zap.Uint64("era_before", f.position.Era()), zap.Uint64("era", table.At.Era()),
			zap.Uint64("version_before", f.position.Version()), zap.Uint64("version", table.At.Version()), zap.Int("rows", len(table.Items)))
		if f.Restored != nil {
			f.Restored()
		}
		snapshot = &Step[T]{To: table.At, Items: table.Items, Unreadable: table.Unreadable, Whole: true}
	}
	f.Sink.Reset(asOf, table)
	f.position = table.At
	f.history.reset(table.At, snapshot)
}

// change takes the store's answer to a call that asked for what came after a position.
// Others may have told of it meanwhile, and of more.
func (f *Follower[T]) applyChanges(asOf time.Duration, changes Batch[T]) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if changes.At < f.position || changes.At.Era() != f.position.Era() {
		return
	}
	f.Sink.Change(asOf, changes)
	if !changes.empty() {
		f.history.add(Step[T]{From: f.position, To: changes.At, Items: changes.Items, Removed: changes.Removed, Unreadable: changes.Unreadable})
	}
	f.position = changes.At
}
