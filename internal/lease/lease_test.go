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

const leaseName = "claims-sweep"

func mustAcquire(t *testing.T, l *Lease) {
	t.Helper()
	if err := l.Acquire(t.Context()); err != nil {
		t.Fatalf("acquire: %v", err)
	}
}

// waitAndAcquire acquires the lease as soon as its row has been unchanged for
// long enough.
func waitAndAcquire(t *testing.T, l *Lease) {
	t.Helper()
	heldErr, ok := errors.Into[*HeldError](l.Acquire(t.Context()))
	if !ok {
		t.Fatal("first attempt: want HeldError")
	}
	time.Sleep(heldErr.Wait)
	mustAcquire(t, l)
}

func TestCandidateWaitsUntilHolderHasStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storagetest.NewTable()
		a, b := New(table, leaseName, "a"), New(table, leaseName, "b")
		mustAcquire(t, a)
		start := time.Now()
		waitAndAcquire(t, b)
		if a.Check() == nil {
			t.Fatal("two concurrent holders")
		}
		if gap := time.Since(start) - (DefaultDuration - DefaultSafetyMargin); gap < DefaultSafetyMargin {
			t.Fatalf("candidate acquired the lease %v after the holder stopped, want at least %v", gap, DefaultSafetyMargin)
		}
		if b.FencingToken() <= 1 {
			t.Fatalf("fencing token after a change of holder: %d", b.FencingToken())
		}
		if err := a.Renew(t.Context()); !errors.Is(err, ErrLost) {
			t.Fatalf("renewal by the former holder: %v, want ErrLost", err)
		}
	})
}

func TestRenewedLeaseIsNotTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storagetest.NewTable()
		a, b := New(table, leaseName, "a"), New(table, leaseName, "b")
		mustAcquire(t, a)
		for range 10 {
			if _, ok := errors.Into[*HeldError](b.Acquire(t.Context())); !ok {
				t.Fatal("a renewed lease was taken over")
			}
			time.Sleep(DefaultRenewInterval)
			if err := a.Renew(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
	})
}

func TestReleasedLeaseIsAcquiredImmediately(t *testing.T) {
	table := storagetest.NewTable()
	a, b := New(table, leaseName, "a"), New(table, leaseName, "b")
	mustAcquire(t, a)
	if err := a.Release(t.Context()); err != nil {
		t.Fatal(err)
	}
	mustAcquire(t, b)
	if a.Check() == nil || b.FencingToken() != 2 {
		t.Fatalf("fencing token of the new holder: %d, want 2", b.FencingToken())
	}
}

// A single request or response that is lost, delayed or times out must neither fail an
// acquisition or a renewal nor apply a write twice.
func TestAcquireAndRenewSucceedDespiteTableFaults(t *testing.T) {
	for _, fault := range []storagetest.Fault{storagetest.FaultResponseLost, storagetest.FaultRequestLost, storagetest.FaultDelayed, storagetest.FaultTimeout} {
		synctest.Test(t, func(t *testing.T) {
			table := storagetest.NewTable()
			l := New(table, leaseName, "a")
			table.InjectFaults(fault)
			mustAcquire(t, l)
			table.InjectFaults(fault)
			if err := l.Renew(t.Context()); err != nil {
				t.Fatalf("fault %v: %v", fault, err)
			}
			if applied := table.ApplyDelayed(); applied != 0 || l.FencingToken() != 1 {
				t.Fatalf("fault %v: %d late writes applied, fencing token %d", fault, applied, l.FencingToken())
			}
		})
	}
}

// A holder that measured its lease from the response to a slow write could hold it for
// longer than candidates wait.
func TestRemainingCountsFromBeforeTheWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storagetest.NewTable()
		l := New(table, leaseName, "a")
		table.BeforeCommit(func([]storage.Write) { time.Sleep(time.Second) })
		mustAcquire(t, l)
		if got := l.Remaining(); got > DefaultDuration-DefaultSafetyMargin-time.Second {
			t.Fatalf("remaining: %v", got)
		}
	})
}

// The holder is suspended, as by SIGSTOP, and resumes after another process has acquired
// the lease. It must not write anything.
func TestSuspendedHolderWritesNothingAfterExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storagetest.NewTable()
		a, b := New(table, leaseName, "a"), New(table, leaseName, "b")
		mustAcquire(t, a)
		waitAndAcquire(t, b)
		order := []storage.Write{{Key: "orders/vm", Value: []byte("old"), Expect: storage.AnyVersion}}
		if err := a.Commit(t.Context(), order); !errors.Is(err, ErrLost) {
			t.Fatalf("commit by the former holder: %v, want ErrLost", err)
		}
	})
}

// The holder is suspended after its check, so that its write arrives after another
// process has acquired the lease.
func TestLateWriteOfFormerHolderHasNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storagetest.NewTable()
		a, b := New(table, leaseName, "a"), New(table, leaseName, "b")
		mustAcquire(t, a)
		table.InjectFaults(storagetest.FaultDelayed)
		ctx, cancel := context.WithCancel(t.Context())
		table.BeforeCommit(func([]storage.Write) { cancel() })
		order := []storage.Write{{Key: "orders/vm", Value: []byte("old"), Expect: storage.AnyVersion}}
		if err := a.Commit(ctx, order); !errors.Is(err, ErrUnavailable) {
			t.Fatalf("commit without a response: %v, want ErrUnavailable", err)
		}
		table.BeforeCommit(nil)
		waitAndAcquire(t, b)
		if table.ApplyDelayed() != 0 {
			t.Fatal("a late write of the former holder took effect")
		}
	})
}

// A renewal with unknown outcome is applied later: the process still holds the
// lease and must be able to renew it.
func TestLateRenewalDoesNotLoseTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storagetest.NewTable()
		l := New(table, leaseName, "a")
		mustAcquire(t, l)
		table.InjectFaults(storagetest.FaultDelayed)
		ctx, cancel := context.WithCancel(t.Context())
		table.BeforeCommit(func([]storage.Write) { cancel() })
		if err := l.Renew(ctx); !errors.Is(err, ErrUnavailable) {
			t.Fatalf("renewal without a response: %v, want ErrUnavailable", err)
		}
		table.BeforeCommit(nil)
		if table.ApplyDelayed() != 1 {
			t.Fatal("the late renewal was not applied")
		}
		if err := l.Renew(t.Context()); err != nil {
			t.Fatalf("next renewal: %v", err)
		}
	})
}
