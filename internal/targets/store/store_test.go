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

func addClass(name string) func(*targets.Set) error {
	return func(set *targets.Set) error {
		set.PutClass(targets.Class{Name: name, Model: "apple-avustaja", FirstToken: time.Second})
		return nil
	}
}

func mustChange(t *testing.T, s *Store, base uint64, name string) *targets.Set {
	t.Helper()
	set, err := s.Change(t.Context(), base, addClass(name))
	if err != nil {
		t.Fatalf("change based on version %d: %v", base, err)
	}
	return set
}

func TestChangeIsReadBackCompletely(t *testing.T) {
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

func TestChangeWithTableFaults(t *testing.T) {
	tests := []struct {
		name   string
		faults []storagetest.Fault
		want   error
		next   uint64
	}{
		{"response lost after the write", []storagetest.Fault{storagetest.FaultResponseLost}, nil, 1},
		{"request lost before the write", []storagetest.Fault{storagetest.FaultRequestLost}, nil, 1},
		{"request delayed past the response", []storagetest.Fault{storagetest.FaultDelayed}, nil, 1},
		{"no response in time", []storagetest.Fault{storagetest.FaultTimeout}, nil, 1},
		{"service down", []storagetest.Fault{storagetest.FaultUnavailable}, ErrUnavailable, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := storagetest.NewTable()
				s := New(table)
				table.InjectFaults(tt.faults...)
				_, err := s.Change(t.Context(), 0, addClass("hazard-flag"))
				if !errors.Is(err, tt.want) {
					t.Fatalf("got %v, want %v", err, tt.want)
				}
				table.ApplyDelayed()
				version, err := s.Version(t.Context())
				if err != nil || version != tt.next {
					t.Fatalf("version: got %d, %v, want %d", version, err, tt.next)
				}
			})
		})
	}
}

// If another operator's change is committed first, the later change must be
// rejected as a whole, with the newer Set.
func TestConcurrentChangeReturnsNewerSet(t *testing.T) {
	table := storagetest.NewTable()
	s := New(table)
	var once atomic.Bool
	table.BeforeCommit(func([]storage.Write) {
		if once.CompareAndSwap(false, true) {
			mustChange(t, New(table), 0, "gate-check")
		}
	})
	_, err := s.Change(t.Context(), 0, addClass("hazard-flag"))
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

// If the response to a change is lost and other operators change the targets
// before the read-back, the first operator must still learn that the change was
// accepted.
func TestLostResponseWithLaterChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storagetest.NewTable()
		s := New(tableWithCommitHook{table, func() {
			mustChange(t, New(table), 1, "gate-check")
			mustChange(t, New(table), 2, "tank-alert")
		}})
		table.InjectFaults(storagetest.FaultResponseLost)
		set, err := s.Change(t.Context(), 0, addClass("hazard-flag"))
		if err != nil || set.Version != 1 {
			t.Fatalf("got %+v, %v, want version 1 accepted", set, err)
		}
	})
}

// tableWithCommitHook calls afterCommit after each commit, before the caller
// sees the result.
type tableWithCommitHook struct {
	*storagetest.Table
	afterCommit func()
}

func (t tableWithCommitHook) Commit(ctx context.Context, writes []storage.Write) error {
	err := t.Table.Commit(ctx, writes)
	t.afterCommit()
	return err
}

// If the response to a change is lost and the table can't be read after that, the
// change must be reported neither as accepted nor as failed.
func TestChangeWithUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storagetest.NewTable()
		s := New(tableWithCommitHook{table, func() { table.SetUnavailable(true) }})
		table.InjectFaults(storagetest.FaultResponseLost)
		_, err := s.Change(t.Context(), 0, addClass("hazard-flag"))
		var unknown *OutcomeUnknownError
		if !errors.As(err, &unknown) || unknown.Version != 1 {
			t.Fatalf("got %v, want an unknown outcome of the change to version 1", err)
		}
	})
}

func TestInvalidChangeWritesNothing(t *testing.T) {
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

func TestPollerRecoversFromOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storagetest.NewTable()
		s := New(table)
		mustChange(t, s, 0, "hazard-flag")
		cache := targets.NewCache()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			NewPoller(s, cache, nil).Run(ctx)
		}()
		synctest.Wait()
		if got := cache.Current().Version; got != 1 {
			t.Fatalf("version after the first poll: %d", got)
		}
		table.SetUnavailable(true)
		time.Sleep(10 * PollInterval)
		table.SetUnavailable(false)
		mustChange(t, s, 1, "gate-check")
		time.Sleep(PollInterval + pollJitter)
		synctest.Wait()
		if got := cache.Current().Version; got != 2 {
			t.Fatalf("version one interval after the outage: %d", got)
		}
		cancel()
		<-done
	})
}

// Reading the whole set row in each poll would multiply the load on the table
// service.
func TestIdlePollReadsOnlyHead(t *testing.T) {
	table := storagetest.NewTable()
	s := New(table)
	mustChange(t, s, 0, "hazard-flag")
	cache := targets.NewCache()
	p := NewPoller(s, cache, nil)
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
