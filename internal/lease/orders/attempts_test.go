package orders

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/storage/storagetest"
)

// TestFailedOrderIsRetriedEverLater counts how often an order is carried out
// that always fails: each time drains the engine.
func TestFailedOrderIsRetriedEverLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storagetest.NewTable()
		var tried []string
		f := NewFollower(NewGuard(table, leaseName, vm), func(_ context.Context, o Order) error {
			tried = append(tried, o.Model)
			return errors.New("no such model")
		}, nil)
		held := acquire(t, table)
		mustGive(t, table, held, "typo")
		play := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(followInterval) {
				_ = f.step(t.Context())
			}
		}
		play(retryFrom)
		play(2 * retryFrom)
		play(4 * retryFrom)
		if len(tried) != 3 {
			t.Fatalf("tried %d times in 7 minutes, want 3", len(tried))
		}
		play(24 * time.Hour)
		if len(tried) > 3+int(24*time.Hour/retryTo)+4 {
			t.Fatalf("tried %d times in a day", len(tried))
		}
		mustGive(t, table, acquire(t, table), "good")
		if _ = f.step(t.Context()); !slices.Equal(tried[len(tried)-1:], []string{"good"}) {
			t.Fatal("another order waits for the failed one's time")
		}
	})
}
