package lease

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/applepier/applepier/internal/storage/storagetest"
)

// acts counts who acts at a time.
type acts struct {
	mu      sync.Mutex
	now     int
	most    int
	entered int
}

func (a *acts) act(ctx context.Context, held *Lease) error {
	a.add(1)
	defer a.add(-1)
	<-ctx.Done()
	return nil
}

func (a *acts) add(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.now += n
	a.most = max(a.most, a.now)
	a.entered += max(n, 0)
}

// counts returns who acts now, the most at a time, and how often one began.
func (a *acts) counts() (now, most, entered int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.now, a.most, a.entered
}

func TestOneOfManyKeepersActsThroughAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storagetest.NewTable()
		ctx, cancel := context.WithCancel(t.Context())
		var seen acts
		var wg sync.WaitGroup
		for _, holder := range []string{"a", "b", "c"} {
			wg.Go(func() { NewKeeper(New(table, name, holder), nil).Run(ctx, seen.act) })
		}
		time.Sleep(time.Minute)
		if now, _, entered := seen.counts(); now != 1 || entered != 1 {
			t.Errorf("acting: %d, begun: %d, want one that stays", now, entered)
		}
		table.SetDown(true)
		time.Sleep(Duration)
		if now, _, _ := seen.counts(); now != 0 {
			t.Error("a holder acts on although it could not renew")
		}
		table.SetDown(false)
		time.Sleep(time.Minute)
		if now, most, _ := seen.counts(); now != 1 || most != 1 {
			t.Errorf("after the outage: acting %d, most at once %d", now, most)
		}
		cancel()
		wg.Wait()
	})
}

func TestStoppingKeeperGivesTheLeaseUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storagetest.NewTable()
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		var seen acts
		wg.Go(func() { NewKeeper(New(table, name, "a"), nil).Run(ctx, seen.act) })
		synctest.Wait()
		cancel()
		wg.Wait()
		mustAcquire(t, New(table, name, "b"))
	})
}
