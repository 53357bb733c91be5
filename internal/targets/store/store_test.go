package store

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/storage"
	"github.com/applepier/applepier/internal/storage/storagetest"
	"github.com/applepier/applepier/internal/targets"
)

func add(name string) func(*targets.Set) error {
	return func(set *targets.Set) error {
		set.PutClass(targets.Class{Name: name, Model: "apple-avustaja", FirstToken: time.Second})
		return nil
	}
}

func mustChange(t *testing.T, s *Store, base uint64, name string) *targets.Set {
	t.Helper()
	set, err := s.Change(t.Context(), base, add(name))
	if err != nil {
		t.Fatalf("change upon version %d: %v", base, err)
	}
	return set
}

func TestChangeIsReadBackWhole(t *testing.T) {
	s := New(storagetest.NewTable())
	mustChange(t, s, 0, "planner-question")
	mustChange(t, s, 1, "hazard-flag")
	set, err := s.Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	version, err := s.Version(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if set.Version != 2 || version != 2 || len(set.Classes) != 2 || set.Classes[0].Name != "hazard-flag" {
		t.Fatalf("version %d, set %+v", version, set)
	}
}

func TestChangeUnderFaultsOfTheTable(t *testing.T) {
	tests := []struct {
		name   string
		faults []storagetest.Fault
		want   error
		next   uint64
	}{
		{"answer lost after the write", []storagetest.Fault{storagetest.FaultLost}, nil, 1},
		{"call lost before the write", []storagetest.Fault{storagetest.FaultDropped}, nil, 1},
		{"call delayed past the answer", []storagetest.Fault{storagetest.FaultLate}, nil, 1},
		{"no answer in time", []storagetest.Fault{storagetest.FaultSlow}, nil, 1},
		{"service down", []storagetest.Fault{storagetest.FaultDown}, ErrUnavailable, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := storagetest.NewTable()
				s := New(table)
				table.FailCommits(tt.faults...)
				_, err := s.Change(t.Context(), 0, add("hazard-flag"))
				if !errors.Is(err, tt.want) {
					t.Fatalf("got %v, want %v", err, tt.want)
				}
				table.Land()
				version, err := s.Version(t.Context())
				if err != nil || version != tt.next {
					t.Fatalf("version: got %d, %v, want %d", version, err, tt.next)
				}
			})
		})
	}
}

func TestSecondOfTwoOperatorsSeesTheNewerSet(t *testing.T) {
	table := storagetest.NewTable()
	s := New(table)
	var once atomic.Bool
	table.BeforeCommit(func([]storage.Write) {
		if once.CompareAndSwap(false, true) {
			mustChange(t, New(table), 0, "gate-check")
		}
	})
	_, err := s.Change(t.Context(), 0, add("hazard-flag"))
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("got %v, want a conflict", err)
	}
	if _, ok := conflict.Newer.Class("gate-check"); !ok || conflict.Newer.Version != 1 {
		t.Fatalf("newer: %+v", conflict.Newer)
	}
	if _, ok := conflict.Newer.Class("hazard-flag"); ok {
		t.Fatal("the second change was applied in part")
	}
}

// The answer to the first change is lost and, before it is read back, others
// change the targets: the first operator must still be told that it was taken.
func TestLostAnswerIsFoundUnderLaterChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storagetest.NewTable()
		s := New(readBackAfter{table, func() {
			mustChange(t, New(table), 1, "gate-check")
			mustChange(t, New(table), 2, "tank-alert")
		}})
		table.FailCommits(storagetest.FaultLost)
		set, err := s.Change(t.Context(), 0, add("hazard-flag"))
		if err != nil || set.Version != 1 {
			t.Fatalf("got %+v, %v, want version 1 accepted", set, err)
		}
	})
}

// readBackAfter runs others once between a commit and what follows it.
type readBackAfter struct {
	*storagetest.Table
	others func()
}

func (r readBackAfter) Commit(ctx context.Context, writes []storage.Write) error {
	err := r.Table.Commit(ctx, writes)
	r.others()
	return err
}

func TestUnsettledChangeSaysSo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storagetest.NewTable()
		s := New(readBackAfter{table, func() { table.SetDown(true) }})
		table.FailCommits(storagetest.FaultLost)
		_, err := s.Change(t.Context(), 0, add("hazard-flag"))
		var unsettled *UnsettledError
		if !errors.As(err, &unsettled) || unsettled.Version != 1 {
			t.Fatalf("got %v, want an unsettled change to version 1", err)
		}
	})
}

func TestRefusedChangeWritesNothing(t *testing.T) {
	table := storagetest.NewTable()
	s := New(table)
	_, err := s.Change(t.Context(), 0, func(set *targets.Set) error {
		set.PutClass(targets.Class{Name: "hazard-flag", Tier: 9})
		return nil
	})
	var invalid *targets.ValidationError
	if !errors.As(err, &invalid) || len(invalid.Problems) != 3 {
		t.Fatalf("got %v, want three problems", err)
	}
	if table.Commits() != 0 {
		t.Fatal("an invalid change reached the table")
	}
}

func TestPollerFollowsAndSurvivesAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storagetest.NewTable()
		s := New(table)
		mustChange(t, s, 0, "hazard-flag")
		holder := targets.NewHolder()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			NewPoller(s, holder, nil).Run(ctx)
		}()
		synctest.Wait()
		if got := holder.Current().Version; got != 1 {
			t.Fatalf("version after the first poll: %d", got)
		}
		table.SetDown(true)
		time.Sleep(10 * PollInterval)
		table.SetDown(false)
		mustChange(t, s, 1, "gate-check")
		time.Sleep(PollInterval + pollJitter)
		synctest.Wait()
		if got := holder.Current().Version; got != 2 {
			t.Fatalf("version one interval after the outage: %d", got)
		}
		cancel()
		<-done
	})
}

func TestIdlePollIsOneSmallRead(t *testing.T) {
	table := storagetest.NewTable()
	s := New(table)
	mustChange(t, s, 0, "hazard-flag")
	holder := targets.NewHolder()
	p := NewPoller(s, holder, nil)
	if err := p.Poll(t.Context()); err != nil {
		t.Fatal(err)
	}
	before := table.Reads()
	if err := p.Poll(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := table.Reads() - before; got != 1 {
		t.Fatalf("reads of an idle poll: got %d, want 1", got)
	}
}
