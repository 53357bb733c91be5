package orders

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/lease"
	"github.com/applepier/applepier/internal/storage/storagetest"
)

const (
	leaseName = "models"
	vm        = "engine-1"
)

// acquire returns a lease that is held, after waiting for its last holder.
func acquire(t *testing.T, table *storagetest.Table) *lease.Lease {
	t.Helper()
	l := lease.New(table, leaseName, "entry")
	err := l.Acquire(t.Context())
	if held, ok := errors.Into[*lease.HeldError](err); ok {
		time.Sleep(held.Wait)
		err = l.Acquire(t.Context())
	}
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func mustGive(t *testing.T, table *storagetest.Table, held *lease.Lease, model string) {
	t.Helper()
	if err := NewBook(table).Give(t.Context(), held, vm, model); err != nil {
		t.Fatal(err)
	}
}

// newFollower returns a Follower as after a start of its agent, and the models
// that it loads.
func newFollower(table *storagetest.Table) (*Follower, *[]string) {
	var loaded []string
	apply := func(_ context.Context, o Order) error {
		loaded = append(loaded, o.Model)
		return nil
	}
	return NewFollower(NewGuard(table, leaseName, vm), apply, nil), &loaded
}

func TestAgentFollowsOrdersOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storagetest.NewTable()
		f, loaded := newFollower(table)
		held := acquire(t, table)
		for _, model := range []string{"a", "a", "b"} {
			mustGive(t, table, held, model)
			if err := f.step(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		next := acquire(t, table)
		mustGive(t, table, next, "b")
		if err := f.step(t.Context()); err != nil {
			t.Fatal(err)
		}
		if want := []string{"a", "b"}; !slices.Equal(*loaded, want) {
			t.Fatalf("loaded %v, want %v", *loaded, want)
		}
	})
}

func TestPausedHolderGivesNoOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storagetest.NewTable()
		old := acquire(t, table)
		next := acquire(t, table)
		mustGive(t, table, next, "b")
		if err := NewBook(table).Give(t.Context(), old, vm, "a"); !errors.Is(err, lease.ErrLost) {
			t.Fatalf("order of the old holder: %v", err)
		}
		order, err := NewBook(table).Read(t.Context(), vm)
		if err != nil || order.Model != "b" {
			t.Fatalf("order: %+v, %v", order, err)
		}
	})
}

// The agent restarts between the change of holder and an order that comes
// late under the old number.
func TestRestartedAgentRefusesAnOldNumber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storagetest.NewTable()
		old := acquire(t, table)
		mustGive(t, table, old, "a")
		next := acquire(t, table)

		g := NewGuard(table, leaseName, vm)
		if err := g.Admit(old.Fence()); !errors.Is(err, ErrNotRestored) {
			t.Fatalf("before Restore: %v", err)
		}
		table.SetDown(true)
		if err := g.Restore(t.Context()); !errors.Is(err, ErrUnavailable) {
			t.Fatalf("while the table is down: %v", err)
		}
		table.SetDown(false)
		if err := g.Restore(t.Context()); err != nil {
			t.Fatal(err)
		}
		if _, ok := errors.Into[*FencedError](g.Admit(old.Fence())); !ok {
			t.Fatal("an order under the old number was admitted")
		}
		if err := g.Admit(next.Fence()); err != nil {
			t.Fatal(err)
		}

		f, loaded := newFollower(table)
		if _, ok := errors.Into[*FencedError](f.step(t.Context())); !ok || len(*loaded) != 0 {
			t.Fatalf("an order that the new holder has not given again was carried out: %v", *loaded)
		}
	})
}

func TestFailedOrderIsTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storagetest.NewTable()
		mustGive(t, table, acquire(t, table), "a")
		tries := 0
		ctx, cancel := context.WithCancel(t.Context())
		NewFollower(NewGuard(table, leaseName, vm), func(context.Context, Order) error {
			tries++
			if tries < 3 {
				return errors.New("engine is down")
			}
			cancel()
			return nil
		}, nil).Run(ctx)
		if tries != 3 {
			t.Fatalf("tries: %d, want 3", tries)
		}
	})
}
