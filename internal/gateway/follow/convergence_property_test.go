package follow

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"pgregory.net/rapid"
)

// restorableStore is a store that can be restored from an older copy. An item is a row in the form
// key=value.
type restorableStore struct {
	snapshot
	era    uint64
	backup snapshot
	// loseNext makes the next call fail as if its response were lost.
	loseNext bool
}

type snapshot struct {
	version uint64
	rows    map[string]string
	changes []change
	// historyStart is the version after which changes are kept.
	historyStart uint64
}

type change struct {
	version uint64
	key     string
	value   string
	removed bool
}

func (s snapshot) clone() snapshot {
	s.rows, s.changes = maps.Clone(s.rows), slices.Clone(s.changes)
	return s
}

func (s *restorableStore) write(key, value string, removed bool) {
	s.version++
	s.changes = append(s.changes, change{s.version, key, value, removed})
	if removed {
		delete(s.rows, key)
	} else {
		s.rows[key] = value
	}
}

func (s *restorableStore) restore() {
	s.snapshot = s.backup.clone()
	s.era++
}

func (s *restorableStore) takeLostError() error {
	if s.loseNext {
		s.loseNext = false
		return errors.New("response lost")
	}
	return nil
}

func (s *restorableStore) Read(context.Context, string) (Batch[string], error) {
	batch := Batch[string]{Position: NewPosition(s.era, s.version)}
	for key, value := range s.rows {
		batch.Items = append(batch.Items, key+"="+value)
	}
	return batch, s.takeLostError()
}

func (s *restorableStore) Next(_ context.Context, after Position, _ time.Duration) (Batch[string], error) {
	if err := s.takeLostError(); err != nil {
		return Batch[string]{}, err
	}
	if after.Era() != s.era || after.Version() < s.historyStart || after.Version() > s.version {
		return Batch[string]{}, ErrHistoryGone
	}
	batch := Batch[string]{Position: NewPosition(s.era, s.version)}
	for _, change := range s.changes {
		switch {
		case change.version <= after.Version():
		case change.removed:
			batch.Removed = append(batch.Removed, change.key)
			batch.Items = slices.DeleteFunc(batch.Items, func(item string) bool { return keyOf(item) == change.key })
		default:
			batch.Removed = slices.DeleteFunc(batch.Removed, func(key string) bool { return key == change.key })
			batch.Items = append(batch.Items, change.key+"="+change.value)
		}
	}
	return batch, nil
}

func keyOf(item string) string {
	key, _, _ := splitItem(item)
	return key
}

func splitItem(item string) (key, value string, ok bool) {
	for i := range item {
		if item[i] == '=' {
			return item[:i], item[i+1:], true
		}
	}
	return item, "", false
}

// mapSink is a Sink that keeps the rows of the table by key.
type mapSink map[string]string

func (s mapSink) Reset(_ time.Duration, all Batch[string]) {
	clear(s)
	s.Change(0, all)
}

func (s mapSink) Change(_ time.Duration, changes Batch[string]) {
	for _, key := range changes.Removed {
		delete(s, key)
	}
	for _, item := range changes.Items {
		key, value, _ := splitItem(item)
		s[key] = value
	}
}

func (s mapSink) Unavailable(error) {}

func (mapSink) Available() {}

// testFollower is a Follower that makes a call only when poll is called.
type testFollower struct {
	Follower[string]
	table mapSink
}

func newTestFollower(store *restorableStore) *testFollower {
	f := &testFollower{table: mapSink{}}
	f.Follower = Follower[string]{Name: "t", Source: store, Sink: f.table, MaxWait: FixedWait(0), Log: zap.NewNop()}
	return f
}

// poll does what one iteration of Run does.
func (f *testFollower) poll(ctx context.Context) {
	err := f.callOnce(ctx, f.Position() != 0 && !(f.historyGone && f.Position() == f.historyGoneAt))
	if errors.Is(err, ErrHistoryGone) {
		f.historyGone, f.historyGoneAt = true, f.Position()
	}
}

// share applies this follower's changes to another follower, as a gateway does for a peer.
func (f *testFollower) share(to *testFollower) {
	if to.Position() == 0 {
		return
	}
	if deltas, complete := f.DeltasSince(to.Position()); complete {
		// Deltas that can't be applied are read from the store instead.
		_ = to.ApplyDeltas(0, deltas)
	}
}

// The store is written to, backed up, restored and compacted, its responses get lost, and followers
// share changes, all in random order. A follower must then have the store's rows after at most three
// more calls.
func TestFollowersConvergeToStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &restorableStore{snapshot: snapshot{rows: map[string]string{}}, backup: snapshot{rows: map[string]string{}}}
		store.write("k0", "first", false)
		followers := []*testFollower{newTestFollower(store), newTestFollower(store), newTestFollower(store)}
		pick := func(label string) *testFollower { return followers[rapid.IntRange(0, len(followers)-1).Draw(t, label)] }
		for i := range rapid.IntRange(5, 60).Draw(t, "steps") {
			key := fmt.Sprint("k", rapid.IntRange(0, 4).Draw(t, "key"))
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1:
				store.write(key, fmt.Sprint(i), false)
			case 2:
				store.write(key, "", true)
			case 3:
				store.backup = store.clone()
			case 4:
				store.restore()
			case 5:
				store.historyStart, store.changes = store.version, nil
			case 6:
				store.loseNext = true
			case 7:
				if len(followers) < 6 {
					followers = append(followers, newTestFollower(store))
				}
			case 8:
				pick("from").share(pick("to"))
			default:
				pick("polls").poll(t.Context())
			}
		}
		store.loseNext = false
		for i, f := range followers {
			for range 3 {
				f.poll(t.Context())
			}
			if !maps.Equal(f.table, store.rows) {
				t.Errorf("follower %d at position %v has %v, the store has %v at era %d, version %d", i, f.Position(), f.table, store.rows, store.era, store.version)
			}
		}
	})
}
