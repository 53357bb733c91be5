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

// erasStore is a store that may come back from an older copy. An item is a row's key and
// value.
type erasStore struct {
	snapshot
	era   uint64
	older snapshot
	// lose has the next answer be lost.
	lose bool
}

type snapshot struct {
	version uint64
	rows    map[string]string
	changes []change
	// since is the version from which on the changes are kept.
	since uint64
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

func (s *erasStore) write(key, value string, removed bool) {
	s.version++
	s.changes = append(s.changes, change{s.version, key, value, removed})
	if removed {
		delete(s.rows, key)
	} else {
		s.rows[key] = value
	}
}

func (s *erasStore) comeBack() {
	s.snapshot = s.older.clone()
	s.era++
}

func (s *erasStore) lost() error {
	if s.lose {
		s.lose = false
		return errors.New("answer was lost")
	}
	return nil
}

func (s *erasStore) Read(context.Context, string) (Batch[string], error) {
	b := Batch[string]{At: At(s.era, s.version)}
	for key, value := range s.rows {
		b.Items = append(b.Items, key+"="+value)
	}
	return b, s.lost()
}

func (s *erasStore) Next(_ context.Context, after Position, _ time.Duration) (Batch[string], error) {
	if err := s.lost(); err != nil {
		return Batch[string]{}, err
	}
	if after.Era() != s.era || after.Version() < s.since || after.Version() > s.version {
		return Batch[string]{}, ErrHistoryGone
	}
	b := Batch[string]{At: At(s.era, s.version)}
	for _, c := range s.changes {
		switch {
		case c.version <= after.Version():
		case c.removed:
			b.Removed = append(b.Removed, c.key)
			b.Items = slices.DeleteFunc(b.Items, func(item string) bool { return keyOf(item) == c.key })
		default:
			b.Removed = slices.DeleteFunc(b.Removed, func(key string) bool { return key == c.key })
			b.Items = append(b.Items, c.key+"="+c.value)
		}
	}
	return b, nil
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

// mirror is a sink that holds what its follower knows.
type mirror map[string]string

func (m mirror) Reset(_ time.Duration, all Batch[string]) {
	clear(m)
	m.Change(0, all)
}

func (m mirror) Change(_ time.Duration, c Batch[string]) {
	for _, key := range c.Removed {
		delete(m, key)
	}
	for _, item := range c.Items {
		key, value, _ := splitItem(item)
		m[key] = value
	}
}

func (m mirror) Unavailable(error) {}

func (mirror) Available() {}

// member is a follower that polls when it is told to.
type member struct {
	Follower[string]
	mirror mirror
}

func newMember(s *erasStore) *member {
	m := &member{mirror: mirror{}}
	m.Follower = Follower[string]{Name: "t", Source: s, Sink: m.mirror, Wait: Always(0), Log: zap.NewNop()}
	return m
}

// poll does what Run does in one turn.
func (m *member) poll(ctx context.Context) {
	err := m.step(ctx, m.Position() != 0 && !(m.gone && m.Position() == m.goneAt))
	if errors.Is(err, ErrHistoryGone) {
		m.gone, m.goneAt = true, m.Position()
	}
}

// share has another follower take what this one knows.
func (m *member) share(to *member) {
	if to.Position() == 0 {
		return
	}
	if steps, known := m.Since(to.Position()); known {
		// What can't be taken is asked of the store.
		_ = to.Take(0, steps)
	}
}

// Whatever is written, copied, brought back, forgotten, lost and shared: once all have polled
// again each knows what the store holds.
func TestFollowersEndWithWhatTheStoreHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &erasStore{snapshot: snapshot{rows: map[string]string{}}, older: snapshot{rows: map[string]string{}}}
		s.write("k0", "first", false)
		members := []*member{newMember(s), newMember(s), newMember(s)}
		any := func(label string) *member { return members[rapid.IntRange(0, len(members)-1).Draw(t, label)] }
		for n := range rapid.IntRange(5, 60).Draw(t, "steps") {
			key := fmt.Sprint("k", rapid.IntRange(0, 4).Draw(t, "key"))
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1:
				s.write(key, fmt.Sprint(n), false)
			case 2:
				s.write(key, "", true)
			case 3:
				s.older = s.clone()
			case 4:
				s.comeBack()
			case 5:
				s.since, s.changes = s.version, nil
			case 6:
				s.lose = true
			case 7:
				if len(members) < 6 {
					members = append(members, newMember(s))
				}
			case 8:
				any("from").share(any("to"))
			default:
				any("polls").poll(t.Context())
			}
		}
		s.lose = false
		for i, m := range members {
			for range 3 {
				m.poll(t.Context())
			}
			if !maps.Equal(m.mirror, s.rows) {
				t.Errorf("follower %d at %v knows %v, the store holds %v at era %d, version %d", i, m.Position(), m.mirror, s.rows, s.era, s.version)
			}
		}
	})
}
