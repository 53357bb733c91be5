package lease

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/storage"
	"github.com/applepier/applepier/internal/storage/storagetest"
)

// quick is the timing of a lease of seconds.
var quick = Timing{Duration: 2 * time.Second, Margin: 400 * time.Millisecond, Renew: 600 * time.Millisecond, Campaign: 500 * time.Millisecond, Rest: 5 * time.Second}

// No fencing number is given out twice, though the store forgets who had it.
func TestFencesGrowThroughAReturn(t *testing.T) {
	table := storagetest.NewTable()
	empty := table.Copy()
	a, b := NewTimed(table, name, "a", quick), NewTimed(table, name, "b", quick)
	mustAcquire(t, a)
	first := a.Fence()
	table.Return(empty)
	mustAcquire(t, b)
	if b.Fence() <= first {
		t.Errorf("fence %d after %d", b.Fence(), first)
	}
	if err := a.Commit(t.Context(), nil); !errors.Is(err, ErrLost) {
		t.Errorf("a renews a lease of an earlier era: %v", err)
	}
}

// What was sent under a lease before a return has no effect once somebody holds the lease
// after it, though the row's version may be the same again.
func TestLateWriteOfAnEarlierEraHasNoEffect(t *testing.T) {
	table := storagetest.NewTable()
	a, b := NewTimed(table, name, "a", quick), NewTimed(table, name, "b", quick)
	mustAcquire(t, a)
	older := table.Copy()
	table.FailCommits(storagetest.FaultLate, storagetest.FaultDown)
	_ = a.Commit(t.Context(), []storage.Write{{Key: "what", Value: []byte("late"), Expect: storage.AnyVersion}})
	table.Return(older)
	mustAcquire(t, b)
	if landed := table.Land(); landed != 0 {
		t.Errorf("%d late writes took effect", landed)
	}
	if _, err := table.Get(t.Context(), "what"); !errors.Is(err, storage.ErrNotFound) {
		t.Errorf("the row is there: %v", err)
	}
}

// A holder that was deposed leaves the lease to others for a while, whether it met a higher
// number or another holder.
func TestDeposedHolderRests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storagetest.NewTable()
		a := NewTimed(table, name, "a", quick)
		mustAcquire(t, a)
		a.Deposed()
		rests := func() time.Duration {
			var held *HeldError
			if err := a.Acquire(t.Context()); !errors.As(err, &held) {
				t.Fatalf("a deposed holder acquires: %v", err)
			}
			return held.Wait
		}
		if got := rests(); got != quick.Rest {
			t.Errorf("it rests for %v", got)
		}
		time.Sleep(quick.Rest)
		mustAcquire(t, a)

		b := NewTimed(table, name, "b", quick)
		var held *HeldError
		if err := b.Acquire(t.Context()); !errors.As(err, &held) {
			t.Fatal(err)
		}
		time.Sleep(held.Wait)
		mustAcquire(t, b)
		if err := b.Release(t.Context()); err != nil {
			t.Fatal(err)
		}
		if got := rests(); got != quick.Rest {
			t.Errorf("it rests for %v after another holder, which has given the lease up", got)
		}
	})
}
