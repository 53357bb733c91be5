package claim

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/storage"
	"github.com/applepier/applepier/internal/storage/storagetest"
)

// claimInOneBatch claims the keys concurrently while slow transactions occupy all
// workers, so that the claims form one batch. It returns the results in key order.
func claimInOneBatch(t *testing.T, c *Claimer, table *storagetest.Table, keys []string) []result {
	t.Helper()
	table.InjectFaults(slices.Repeat([]storagetest.Fault{storagetest.FaultTimeout}, maxInFlightBatches)...)
	var blockers sync.WaitGroup
	for i := range maxInFlightBatches {
		blockers.Go(func() {
			_, _ = c.Claim(t.Context(), customer, fmt.Sprintf("occupy-%d", i), fingerprint, "occupy")
		})
		synctest.Wait()
	}
	results := make([]result, len(keys))
	var wg sync.WaitGroup
	for i, k := range keys {
		wg.Go(func() {
			claim, err := c.Claim(t.Context(), customer, k, fingerprint, "grouped")
			results[i] = result{current: record{Attempt: claim.Attempt}, err: err}
		})
	}
	wg.Wait()
	blockers.Wait()
	return results
}

func numberedKeys(n int) []string {
	keys := make([]string, n)
	for i := range keys {
		keys[i] = fmt.Sprintf("key-%02d", i)
	}
	return keys
}

func TestConcurrentClaimsShareTransaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storagetest.NewTable()
		c := NewClaimer(table)
		defer c.Close()
		var sizes []int
		table.BeforeCommit(func(writes []storage.Write) { sizes = append(sizes, len(writes)) })
		for i, r := range claimInOneBatch(t, c, table, numberedKeys(50)) {
			if r.err != nil || r.current.Attempt != "grouped" {
				t.Fatalf("claim %d: %+v", i, r)
			}
		}
		if slices.Max(sizes) != 50 {
			t.Fatalf("sizes of transactions: %v, want one of 50", sizes)
		}
	})
}

func TestConflictDoesNotFailOtherTransitionsInBatch(t *testing.T) {
	for _, fault := range []storagetest.Fault{storagetest.FaultNone, storagetest.FaultResponseLost, storagetest.FaultRequestLost, storagetest.FaultDelayed} {
		synctest.Test(t, func(t *testing.T) {
			table := storagetest.NewTable()
			other := NewClaimer(table)
			if _, err := other.Claim(t.Context(), customer, "key-07", fingerprint, "other"); err != nil {
				t.Fatal(err)
			}
			c := NewClaimer(table)
			defer c.Close()
			// The slow transactions occupy the workers first; the fault hits the batch.
			failFirstBatch(table, fault)
			for i, r := range claimInOneBatch(t, c, table, numberedKeys(20)) {
				want := "grouped"
				if i == 7 {
					want = "other"
				}
				if r.err != nil || r.current.Attempt != want {
					t.Errorf("fault %v, claim %d: attempt %q, %v, want %q", fault, i, r.current.Attempt, r.err, want)
				}
			}
		})
	}
}

// failFirstBatch applies the fault to the first transaction with several writes.
func failFirstBatch(table *storagetest.Table, fault storagetest.Fault) {
	var once sync.Once
	table.BeforeCommit(func(writes []storage.Write) {
		if len(writes) > 1 {
			once.Do(func() { table.InjectFaults(fault) })
		}
	})
}

func TestBatchFailsWhenTableIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storagetest.NewTable()
		c := NewClaimer(table)
		defer c.Close()
		table.BeforeCommit(func(writes []storage.Write) {
			if len(writes) > 1 {
				table.SetUnavailable(true)
			}
		})
		for i, r := range claimInOneBatch(t, c, table, numberedKeys(20)) {
			if !errors.Is(r.err, ErrUnavailable) {
				t.Fatalf("claim %d: %v", i, r.err)
			}
		}
	})
}

// A full queue rejects a transition at once, even if the table service is slow and all
// workers are occupied.
func TestQueueIsBounded(t *testing.T) {
	var c committer
	c.inFlight = maxInFlightBatches
	for range maxPendingTransitions {
		c.enqueue(&transition{})
	}
	if c.enqueue(&transition{}) {
		t.Fatal("a transition was queued beyond maxPendingTransitions")
	}
}
