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

// Three entries attempt the same keys while commits fail at random, including delayed
// writes. At most one attempt per key may record a grant and so send a body.
func TestAtMostOneGrantPerKeyUnderRandomFaults(t *testing.T) {
	const seeds = 100
	for seed := range int64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			table := storagetest.NewTable()
			random := rand.New(rand.NewSource(seed))
			for range 12 {
				table.InjectFaults(storagetest.Fault(random.Intn(int(storagetest.FaultTimeout) + 1)))
			}
			for key, count := range countGrants(t, table) {
				if count > 1 {
					t.Errorf("seed %d: %s was granted %d times", seed, key, count)
				}
			}
		})
	}
}

// countGrants lets several entries attempt the same keys concurrently and returns the
// number of recorded grants by key.
func countGrants(t *testing.T, table *storagetest.Table) map[string]int {
	const entryCount, attemptsPerEntry, keyCount = 3, 6, 3
	var mu sync.Mutex
	grants := map[string]int{}
	var wg sync.WaitGroup
	for entry := range entryCount {
		c := NewClaimer(table)
		defer c.Close()
		for i := range attemptsPerEntry {
			wg.Go(func() {
				key := fmt.Sprintf("key-%d", i%keyCount)
				if claimAndGrant(t, c, key, fmt.Sprintf("%d-%d", entry, i)) {
					mu.Lock()
					defer mu.Unlock()
					grants[key]++
				}
				// Apply delayed writes while other attempts are in progress.
				table.ApplyDelayed()
			})
		}
	}
	wg.Wait()
	time.Sleep(resolveTimeout)
	return grants
}

// claimAndGrant claims a key and records a grant as an entry does. It reports whether
// the entry may send the body.
func claimAndGrant(t *testing.T, c *Claimer, key, attempt string) bool {
	claim, err := c.Claim(t.Context(), customer, key, fingerprint, attempt)
	if err != nil || claim.State != StateClaimed {
		return false
	}
	if !claim.Owned {
		if claim, err = c.TakeOver(t.Context(), claim, attempt); err != nil {
			return false
		}
	}
	_, err = c.Grant(t.Context(), claim, "127.0.0.1:9", attempt)
	return err == nil
}
