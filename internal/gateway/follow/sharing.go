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
func (f *Follower[T]) Changed() Position { return f.recent.changed() }

// Known is the same, or, for none, the position at which the whole table was read: what
// had changed before that it knows, but not what it was.
func (f *Follower[T]) Known() Position { return f.recent.known() }

// Since returns what changed after a position; false if not all of it is known.
func (f *Follower[T]) Since(at Position) ([]Step[T], bool) { return f.recent.since(at) }

// Position is up to where the table is known; 0 before it has been read.
func (f *Follower[T]) Position() Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.at
}

// Live reports whether the store is asked and answers.
func (f *Follower[T]) Live() bool { return f.live.Load() }

// Take takes what another follower of the table had from the store, as far as it is
// news; ErrGap if it begins too late.
func (f *Follower[T]) Take(moment time.Duration, steps []Step[T]) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range steps {
		if s.To <= f.at {
			continue
		}
		if s.Whole && f.at != 0 && s.To.Era() > f.at.Era() {
			f.restart(moment, Batch[T]{Items: s.Items, Unreadable: s.Unreadable, At: s.To})
			continue
		}
		if s.From > f.at || s.From.Era() != f.at.Era() || f.at == 0 {
			return ErrGap
		}
		f.Sink.Change(moment, Batch[T]{Items: s.Items, Removed: s.Removed, Unreadable: s.Unreadable, At: s.To})
		f.at = s.To
		f.recent.add(s)
	}
	return nil
}

// reset takes the whole table.
func (f *Follower[T]) reset(moment time.Duration, all Batch[T]) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.restart(moment, all)
}

// restart takes the whole table; f.mu is held. After a return of the store from an older
// copy other followers can go on from it: not all of them have to read it.
func (f *Follower[T]) restart(moment time.Duration, all Batch[T]) {
	var whole *Step[T]
	if f.at != 0 && all.At.Era() > f.at.Era() {
		f.Log.Warn(logging.EventStoreRestored, zap.String("table", f.Name),
			zap.Uint64("era_before", f.at.Era()), zap.Uint64("era", all.At.Era()),
			zap.Uint64("version_before", f.at.Version()), zap.Uint64("version", all.At.Version()), zap.Int("rows", len(all.Items)))
		if f.Restored != nil {
			f.Restored()
		}
		whole = &Step[T]{To: all.At, Items: all.Items, Unreadable: all.Unreadable, Whole: true}
	}
	f.Sink.Reset(moment, all)
	f.at = all.At
	f.recent.reset(all.At, whole)
}

// change takes the store's answer to a call that asked for what came after a position.
// Others may have told of it meanwhile, and of more.
func (f *Follower[T]) change(moment time.Duration, changes Batch[T]) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if changes.At < f.at || changes.At.Era() != f.at.Era() {
		return
	}
	f.Sink.Change(moment, changes)
	if !changes.empty() {
		f.recent.add(Step[T]{From: f.at, To: changes.At, Items: changes.Items, Removed: changes.Removed, Unreadable: changes.Unreadable})
	}
	f.at = changes.At
}
