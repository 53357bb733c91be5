package claim

import (
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/applepier/applepier/internal/storage/storagetest"
)

// Three entries work on the same keys while the table service fails at random,
// delayed writes included. Whatever happens, one attempt gets to send a body.
func TestAtMostOneGrantForAKeyUnderRandomFaults(t *testing.T) {
	const seeds = 100
	for seed := range int64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			table := storagetest.NewTable()
			random := rand.New(rand.NewSource(seed))
			for range 12 {
				table.FailCommits(storagetest.Fault(random.Intn(int(storagetest.FaultSlow) + 1)))
			}
			for key, count := range countGrants(t, table) {
				if count > 1 {
					t.Errorf("seed %d: %s was granted %d times", seed, key, count)
				}
			}
		})
	}
}

// countGrants makes several entries attempt the same keys and counts the
// grants taken up by key.
func countGrants(t *testing.T, table *storagetest.Table) map[string]int {
	const entries, attempts, keys = 3, 6, 3
	var mu sync.Mutex
	grants := map[string]int{}
	var wg sync.WaitGroup
	for entry := range entries {
		c := NewClaimer(table)
		defer c.Close()
		for i := range attempts {
			wg.Go(func() {
				key := fmt.Sprintf("key-%d", i%keys)
				if grantOnce(t, c, key, fmt.Sprintf("%d-%d", entry, i)) {
					mu.Lock()
					defer mu.Unlock()
					grants[key]++
				}
				// Writes that were delayed land while others still work.
				table.Land()
			})
		}
	}
	wg.Wait()
	time.Sleep(settleLimit)
	return grants
}

// grantOnce tries as an entry does, and reports whether it may send the body.
func grantOnce(t *testing.T, c *Claimer, key, attempt string) bool {
	claim, err := c.Claim(t.Context(), customer, key, fingerprint, attempt)
	if err != nil || claim.State != StateClaimed {
		return false
	}
	if !claim.Mine {
		if claim, err = c.TakeOver(t.Context(), claim, attempt); err != nil {
			return false
		}
	}
	_, err = c.Grant(t.Context(), claim, "127.0.0.1:9", attempt)
	return err == nil
}
