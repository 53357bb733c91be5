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

// claimTogether claims the keys at once while the table service is slow, so
// that they gather in one group, and returns the results in order of keys.
func claimTogether(t *testing.T, c *Claimer, table *storagetest.Table, keys []string) []result {
	t.Helper()
	table.FailCommits(slices.Repeat([]storagetest.Fault{storagetest.FaultSlow}, maxInFlight)...)
	var occupied sync.WaitGroup
	for i := range maxInFlight {
		occupied.Go(func() {
			_, _ = c.Claim(t.Context(), customer, fmt.Sprintf("occupy-%d", i), fingerprint, "occupy")
		})
		synctest.Wait()
	}
	results := make([]result, len(keys))
	var wg sync.WaitGroup
	for i, k := range keys {
		wg.Go(func() {
			claim, err := c.Claim(t.Context(), customer, k, fingerprint, "grouped")
			results[i] = result{found: record{Attempt: claim.Attempt}, err: err}
		})
	}
	wg.Wait()
	occupied.Wait()
	return results
}

func keysOf(n int) []string {
	keys := make([]string, n)
	for i := range keys {
		keys[i] = fmt.Sprintf("key-%02d", i)
	}
	return keys
}

func TestManyClaimsShareATransaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storagetest.NewTable()
		c := NewClaimer(table)
		defer c.Close()
		var sizes []int
		table.BeforeCommit(func(writes []storage.Write) { sizes = append(sizes, len(writes)) })
		for i, r := range claimTogether(t, c, table, keysOf(50)) {
			if r.err != nil || r.found.Attempt != "grouped" {
				t.Fatalf("claim %d: %+v", i, r)
			}
		}
		if slices.Max(sizes) != 50 {
			t.Fatalf("sizes of transactions: %v, want one of 50", sizes)
		}
	})
}

func TestOneConflictDoesNotFailTheGroup(t *testing.T) {
	for _, fault := range []storagetest.Fault{storagetest.FaultNone, storagetest.FaultLost, storagetest.FaultDropped, storagetest.FaultLate} {
		synctest.Test(t, func(t *testing.T) {
			table := storagetest.NewTable()
			other := NewClaimer(table)
			if _, err := other.Claim(t.Context(), customer, "key-07", fingerprint, "other"); err != nil {
				t.Fatal(err)
			}
			c := NewClaimer(table)
			defer c.Close()
			// The two slow calls come first; the fault hits the group.
			occupyThen(table, fault)
			for i, r := range claimTogether(t, c, table, keysOf(20)) {
				want := "grouped"
				if i == 7 {
					want = "other"
				}
				if r.err != nil || r.found.Attempt != want {
					t.Errorf("fault %v, claim %d: attempt %q, %v, want %q", fault, i, r.found.Attempt, r.err, want)
				}
			}
		})
	}
}

// occupyThen makes the first transaction of several steps meet the fault.
func occupyThen(table *storagetest.Table, fault storagetest.Fault) {
	var once sync.Once
	table.BeforeCommit(func(writes []storage.Write) {
		if len(writes) > 1 {
			once.Do(func() { table.FailCommits(fault) })
		}
	})
}

func TestGroupWhileTheTableIsDownFailsWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storagetest.NewTable()
		c := NewClaimer(table)
		defer c.Close()
		table.BeforeCommit(func(writes []storage.Write) {
			if len(writes) > 1 {
				table.SetDown(true)
			}
		})
		for i, r := range claimTogether(t, c, table, keysOf(20)) {
			if !errors.Is(r.err, ErrUnavailable) {
				t.Fatalf("claim %d: %v", i, r.err)
			}
		}
	})
}

// A slow service delays the two transactions under way, not the refusal of
// what can't be queued.
func TestQueueIsBounded(t *testing.T) {
	var c committer
	c.inFlight = maxInFlight
	for range maxPending {
		c.enqueue(&step{})
	}
	if c.enqueue(&step{}) {
		t.Fatal("the queue took more than its bound")
	}
}
