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
	testLease = "models"
	testVM    = "engine-1"
)

// mustAcquire returns a held lease, after waiting for the lease of the previous
// holder to expire.
func mustAcquire(t *testing.T, table *storagetest.Table) *lease.Lease {
	t.Helper()
	l := lease.New(table, testLease, "entry")
	err := l.Acquire(t.Context())
	if heldErr, ok := errors.Into[*lease.HeldError](err); ok {
		time.Sleep(heldErr.Wait)
		err = l.Acquire(t.Context())
	}
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func mustIssue(t *testing.T, table *storagetest.Table, held *lease.Lease, model string) {
	t.Helper()
	if err := NewStore(table).Issue(t.Context(), held, testVM, model); err != nil {
		t.Fatal(err)
	}
}

// newTestExecutor returns the Executor of an agent that has just started, and the
// list of the models that it loads.
func newTestExecutor(table *storagetest.Table) (*Executor, *[]string) {
	var loaded []string
	load := func(_ context.Context, o Order) error {
		loaded = append(loaded, o.Model)
		return nil
	}
	return NewExecutor(NewGuard(table, testLease, testVM), load, nil), &loaded
}

// An order that is issued again, by the same or by a new holder of the lease, must not make
// the engine load its model again.
func TestOrderIsExecutedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storagetest.NewTable()
		e, loaded := newTestExecutor(table)
		held := mustAcquire(t, table)
		for _, model := range []string{"a", "a", "b"} {
			mustIssue(t, table, held, model)
			if err := e.poll(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		next := mustAcquire(t, table)
		mustIssue(t, table, next, "b")
		if err := e.poll(t.Context()); err != nil {
			t.Fatal(err)
		}
		if want := []string{"a", "b"}; !slices.Equal(*loaded, want) {
			t.Fatalf("loaded %v, want %v", *loaded, want)
		}
	})
}

func TestFormerHolderCannotIssueOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storagetest.NewTable()
		former := mustAcquire(t, table)
		next := mustAcquire(t, table)
		mustIssue(t, table, next, "b")
		if err := NewStore(table).Issue(t.Context(), former, testVM, "a"); !errors.Is(err, lease.ErrLost) {
			t.Fatalf("order of the former holder: %v, want ErrLost", err)
		}
		order, err := NewStore(table).Read(t.Context(), testVM)
		if err != nil || order.Model != "b" {
			t.Fatalf("order: %+v, %v", order, err)
		}
	})
}

// The agent restarts between a change of holder and an order that arrives late with
// the former holder's fencing token.
func TestRestartedAgentRejectsStaleToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storagetest.NewTable()
		former := mustAcquire(t, table)
		mustIssue(t, table, former, "a")
		next := mustAcquire(t, table)

		g := NewGuard(table, testLease, testVM)
		if err := g.Admit(former.FencingToken()); !errors.Is(err, ErrNotRefreshed) {
			t.Fatalf("before Refresh: %v, want ErrNotRefreshed", err)
		}
		table.SetUnavailable(true)
		if err := g.Refresh(t.Context()); !errors.Is(err, ErrUnavailable) {
			t.Fatalf("while the table is unavailable: %v", err)
		}
		table.SetUnavailable(false)
		if err := g.Refresh(t.Context()); err != nil {
			t.Fatal(err)
		}
		if _, ok := errors.Into[*FencedError](g.Admit(former.FencingToken())); !ok {
			t.Fatal("an order with a stale fencing token was admitted")
		}
		if err := g.Admit(next.FencingToken()); err != nil {
			t.Fatal(err)
		}

		e, loaded := newTestExecutor(table)
		if _, ok := errors.Into[*FencedError](e.poll(t.Context())); !ok || len(*loaded) != 0 {
			t.Fatalf("an order that the new holder has not issued again was executed: %v", *loaded)
		}
	})
}

func TestFailedOrderIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storagetest.NewTable()
		mustIssue(t, table, mustAcquire(t, table), "a")
		attempts := 0
		ctx, cancel := context.WithCancel(t.Context())
		NewExecutor(NewGuard(table, testLease, testVM), func(context.Context, Order) error {
			attempts++
			if attempts < 3 {
				return errors.New("engine is down")
			}
			cancel()
			return nil
		}, nil).Run(ctx)
		if attempts != 3 {
			t.Fatalf("attempts: %d, want 3", attempts)
		}
	})
}
