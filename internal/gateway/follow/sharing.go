package follow

import (
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/boottime"
	"github.com/applepier/applepier/internal/logging"
)

// ErrGap is returned if deltas begin after the position that is known.
var ErrGap = errors.New("changes before the deltas are missing")

// LastChange returns the position after the newest change that is known from the store or from
// another gateway; 0 if there was none since the complete table was read.
func (f *Follower[T]) LastChange() Position { return f.history.lastChange() }

// LastKnown returns LastChange or, if that is 0, the position at which the complete table was read.
// The table includes the changes before that position, but the single changes aren't known.
func (f *Follower[T]) LastKnown() Position { return f.history.lastKnown() }

// DeltasSince returns the changes after a position; false if the history doesn't hold all of them.
func (f *Follower[T]) DeltasSince(after Position) ([]Delta[T], bool) { return f.history.since(after) }

// Table returns the complete table with its position, as a delta for a follower that knows nothing;
// false before the table is known. items returns the table's rows and is called while the table can't
// change.
func (f *Follower[T]) Table(items func() []T) (Delta[T], bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.position == 0 {
		return Delta[T]{}, false
	}
	return Delta[T]{From: f.position, To: f.position, Items: items(), Snapshot: true}, true
}

// Position returns the position up to which the table is known; 0 before it has been read.
func (f *Follower[T]) Position() Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position
}

// Live reports whether this follower polls the store and the store responds.
func (f *Follower[T]) Live() bool { return f.live.Load() }

// ApplyDeltas applies the changes that another follower received from the store, and skips those
// that are already known. It returns ErrGap if changes are missing before the deltas.
func (f *Follower[T]) ApplyDeltas(asOf time.Duration, deltas []Delta[T]) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, delta := range deltas {
		if delta.To <= f.position {
			continue
		}
		if delta.Snapshot {
			f.replaceLocked(asOf, Batch[T]{Items: delta.Items, Unreadable: delta.Unreadable, Position: delta.To})
			continue
		}
		if delta.From > f.position || delta.From.Era() != f.position.Era() || f.position == 0 {
			return ErrGap
		}
		f.Sink.Change(asOf, Batch[T]{Items: delta.Items, Removed: delta.Removed, Unreadable: delta.Unreadable, Position: delta.To})
		f.setPositionLocked(delta.To)
		f.history.add(delta)
	}
	return nil
}

// applyFullRead replaces the table with the result of a full read that began at asOf. It ignores a read
// that began before a later position became known, since other gateways have shared later changes
// meanwhile. One that began afterwards was read from a copy of the store that is behind, or the store
// went back; applyFullRead returns errStaleRead until such reads have lasted for maxStaleReads.
func (f *Follower[T]) applyFullRead(asOf time.Duration, table Batch[T]) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if table.Position < f.position {
		f.Log.Info(logging.EventOldReadIgnored, zap.String("table", f.Name), zap.Stringer("position", table.Position), zap.Stringer("known", f.position))
		if asOf <= f.learnedAt {
			return nil
		}
		if f.staleReadsSince.IsZero() {
			f.staleReadsSince = time.Now()
		}
		if time.Since(f.staleReadsSince) < maxStaleReads {
			return errStaleRead
		}
	}
	f.staleReadsSince = time.Time{}
	f.replaceLocked(asOf, table)
	f.confirmLocked(asOf)
	return nil
}

// Confirm records that the store had no change of the table after newest at asOf, as the responses for
// another table of the store or another gateway show, provided that the table is known up to newest. It
// reports whether it is. A position from another era confirms nothing.
func (f *Follower[T]) Confirm(asOf time.Duration, newest Position) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.position == 0 || newest.Era() != f.position.Era() || newest > f.position {
		return false
	}
	f.confirmLocked(asOf)
	return true
}

// confirmLocked records that the table was complete at asOf. f.mu must be held, and what the table lacked
// must be in the history.
func (f *Follower[T]) confirmLocked(asOf time.Duration) {
	f.confirmedAt.Store(max(f.confirmedAt.Load(), int64(asOf)))
}

// ConfirmedAt returns the latest time, on the boottime clock, as of which the table is known to be
// complete, except for changes that the store's feed hadn't delivered yet; 0 if it never was. It doesn't
// wait for calls of the Sink.
func (f *Follower[T]) ConfirmedAt() time.Duration { return time.Duration(f.confirmedAt.Load()) }

// replaceLocked replaces the complete table; f.mu must be held. If the store was restored from an
// older copy or no longer had the history, the table is kept as a snapshot, so that not all other
// followers have to read it from the store.
func (f *Follower[T]) replaceLocked(asOf time.Duration, table Batch[T]) {
	var snapshot *Delta[T]
	switch {
	case f.position != 0 && table.Position.Era() > f.position.Era():
		f.Log.Warn(logging.EventStoreRestored, zap.String("table", f.Name),
			zap.Uint64("era_before", f.position.Era()), zap.Uint64("era", table.Position.Era()),
			zap.Uint64("version_before", f.position.Version()), zap.Uint64("version", table.Position.Version()), zap.Int("rows", len(table.Items)))
		if f.OnRestore != nil {
			f.OnRestore()
		}
		snapshot = &Delta[T]{To: table.Position, Items: table.Items, Unreadable: table.Unreadable, Snapshot: true}
	case f.position != 0:
		// From keeps earlier releases, which apply snapshots of a later era only, from taking it for
		// changes since any position.
		snapshot = &Delta[T]{From: table.Position, To: table.Position, Items: table.Items, Unreadable: table.Unreadable, Snapshot: true}
	}
	f.Sink.Reset(asOf, table)
	f.setPositionLocked(table.Position)
	f.history.reset(table.Position, snapshot)
}

// applyChanges applies the store's response to a call for the changes after a position. It ignores
// the response if other gateways have shared later changes meanwhile.
func (f *Follower[T]) applyChanges(asOf time.Duration, changes Batch[T]) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if changes.Position.Era() != f.position.Era() {
		return
	}
	defer f.confirmLocked(asOf)
	if changes.Position < f.position {
		return
	}
	f.Sink.Change(asOf, changes)
	if !changes.empty() {
		f.history.add(Delta[T]{From: f.position, To: changes.Position, Items: changes.Items, Removed: changes.Removed, Unreadable: changes.Unreadable})
	}
	f.setPositionLocked(changes.Position)
}

// setPositionLocked records a new position; f.mu must be held.
func (f *Follower[T]) setPositionLocked(position Position) {
	f.position, f.learnedAt = position, boottime.Now()
}
