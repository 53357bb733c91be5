package usage

import (
	"context"
	"maps"
	"sync"
	"testing"
	"time"
)

// judge is a platform that takes reports and says what breaks: two of one window that
// differ, two holders of one generation.
type judge struct {
	t  *testing.T
	mu sync.Mutex
	// answer is what becomes of the next calls; nil for the platform's own answer.
	answer  func() error
	taken   map[uint64]map[string]int64
	at      map[uint64]time.Duration
	holders map[uint64]string
	newest  uint64
	// refused counts the calls that were refused, by generation.
	refused map[uint64]int
	calls   int
	turns   []string
}

func newJudge(t *testing.T) *judge {
	return &judge{t: t, taken: map[uint64]map[string]int64{}, at: map[uint64]time.Duration{}, holders: map[uint64]string{}, refused: map[uint64]int{}}
}

func (j *judge) Report(_ context.Context, h Holder, r Report) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.calls++
	if j.answer != nil {
		if err := j.answer(); err != nil {
			return err
		}
	}
	return j.execute(h, r)
}

// execute carries a call out; j.mu is held.
func (j *judge) execute(h Holder, r Report) error {
	if other, ok := j.holders[h.Generation]; ok && other != h.Name {
		j.t.Errorf("%s and %s report under generation %d", other, h.Name, h.Generation)
	}
	j.holders[h.Generation] = h.Name
	if h.Generation < j.newest {
		j.refused[h.Generation]++
		return ErrDeposed
	}
	j.newest = h.Generation
	if len(j.turns) == 0 || j.turns[len(j.turns)-1] != h.Name {
		j.turns = append(j.turns, h.Name)
	}
	if before, ok := j.taken[r.Window]; ok && !maps.Equal(before, r.Counts) {
		j.t.Errorf("window %d was reported as %v and %v", r.Window, before, r.Counts)
	}
	if _, ok := j.taken[r.Window]; !ok {
		j.taken[r.Window], j.at[r.Window] = maps.Clone(r.Counts), time.Since(fiveSeconds.End(r.Window))
	}
	return nil
}
