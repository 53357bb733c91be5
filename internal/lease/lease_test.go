package lease

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/storage"
	"github.com/applepier/applepier/internal/storage/storagetest"
)

const name = "claims-sweep"

func mustAcquire(t *testing.T, l *Lease) {
	t.Helper()
	if err := l.Acquire(t.Context()); err != nil {
		t.Fatalf("acquire: %v", err)
	}
}

// challenge acquires as soon as the row has been unchanged long enough.
func challenge(t *testing.T, l *Lease) {
	t.Helper()
	held, ok := errors.Into[*HeldError](l.Acquire(t.Context()))
	if !ok {
		t.Fatal("the first try must only look")
	}
	time.Sleep(held.Wait)
	mustAcquire(t, l)
}

func TestChallengerWaitsUntilTheHolderHasStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storagetest.NewTable()
		a, b := New(table, name, "a"), New(table, name, "b")
		mustAcquire(t, a)
		began := time.Now()
		challenge(t, b)
		if a.Check() == nil {
			t.Fatal("two holders at once")
		}
		if gap := time.Since(began) - (Duration - Margin); gap < Margin {
			t.Fatalf("the challenger came %v after the holder stopped, want at least %v", gap, Margin)
		}
		if b.Fence() <= 1 {
			t.Fatalf("fence after a change of holder: %d", b.Fence())
		}
		if err := a.Renew(t.Context()); !errors.Is(err, ErrLost) {
			t.Fatalf("renewal of the old holder: %v", err)
		}
	})
}

func TestRenewedLeaseIsNotTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storagetest.NewTable()
		a, b := New(table, name, "a"), New(table, name, "b")
		mustAcquire(t, a)
		for range 10 {
			if _, ok := errors.Into[*HeldError](b.Acquire(t.Context())); !ok {
				t.Fatal("a lease that is renewed was taken")
			}
			time.Sleep(RenewInterval)
			if err := a.Renew(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
	})
}

func TestReleasedLeaseIsTakenAtOnce(t *testing.T) {
	table := storagetest.NewTable()
	a, b := New(table, name, "a"), New(table, name, "b")
	mustAcquire(t, a)
	if err := a.Release(t.Context()); err != nil {
		t.Fatal(err)
	}
	mustAcquire(t, b)
	if a.Check() == nil || b.Fence() != 2 {
		t.Fatalf("fence %d", b.Fence())
	}
}

func TestLostAnswers(t *testing.T) {
	for _, fault := range []storagetest.Fault{storagetest.FaultLost, storagetest.FaultDropped, storagetest.FaultLate, storagetest.FaultSlow} {
		synctest.Test(t, func(t *testing.T) {
			table := storagetest.NewTable()
			l := New(table, name, "a")
			table.FailCommits(fault)
			mustAcquire(t, l)
			table.FailCommits(fault)
			if err := l.Renew(t.Context()); err != nil {
				t.Fatalf("fault %v: %v", fault, err)
			}
			if landed := table.Land(); landed != 0 || l.Fence() != 1 {
				t.Fatalf("fault %v: %d late writes landed, fence %d", fault, landed, l.Fence())
			}
		})
	}
}

// The time that a slow write takes counts against the holder.
func TestHolderCountsFromBeforeTheWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storagetest.NewTable()
		l := New(table, name, "a")
		table.BeforeCommit(func([]storage.Write) { time.Sleep(time.Second) })
		mustAcquire(t, l)
		if got := l.Remaining(); got > Duration-Margin-time.Second {
			t.Fatalf("remaining: %v", got)
		}
	})
}

// The holder is stopped past its lease, as by SIGSTOP, and goes on.
func TestPausedHolderFindsItsLeaseLapsedAndWritesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storagetest.NewTable()
		a, b := New(table, name, "a"), New(table, name, "b")
		mustAcquire(t, a)
		challenge(t, b)
		order := []storage.Write{{Key: "orders/vm", Value: []byte("old"), Expect: storage.AnyVersion}}
		if err := a.Commit(t.Context(), order); !errors.Is(err, ErrLost) {
			t.Fatalf("commit of the old holder: %v", err)
		}
	})
}

// The holder is stopped after its check, so that its write arrives when
// another process holds the lease.
func TestLateWriteOfAnOldHolderTakesNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storagetest.NewTable()
		a, b := New(table, name, "a"), New(table, name, "b")
		mustAcquire(t, a)
		table.FailCommits(storagetest.FaultLate)
		ctx, cancel := context.WithCancel(t.Context())
		table.BeforeCommit(func([]storage.Write) { cancel() })
		order := []storage.Write{{Key: "orders/vm", Value: []byte("old"), Expect: storage.AnyVersion}}
		if err := a.Commit(ctx, order); !errors.Is(err, ErrUnavailable) {
			t.Fatalf("commit without an answer: %v", err)
		}
		table.BeforeCommit(nil)
		challenge(t, b)
		if table.Land() != 0 {
			t.Fatal("a late write of the old holder took effect")
		}
	})
}

// A renewal whose outcome stayed unknown lands later: the holder is still the
// holder and must be able to go on.
func TestRenewalThatLandsLateDoesNotLoseTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storagetest.NewTable()
		l := New(table, name, "a")
		mustAcquire(t, l)
		table.FailCommits(storagetest.FaultLate)
		ctx, cancel := context.WithCancel(t.Context())
		table.BeforeCommit(func([]storage.Write) { cancel() })
		if err := l.Renew(ctx); !errors.Is(err, ErrUnavailable) {
			t.Fatalf("renewal without an answer: %v", err)
		}
		table.BeforeCommit(nil)
		if table.Land() != 1 {
			t.Fatal("the late renewal must land")
		}
		if err := l.Renew(t.Context()); err != nil {
			t.Fatalf("next renewal: %v", err)
		}
	})
}
