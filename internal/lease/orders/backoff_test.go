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

// An order that always fails must be retried with a growing delay, since each
// attempt drains the engine.
func TestFailedOrderIsRetriedWithBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storagetest.NewTable()
		var attempted []string
		e := NewExecutor(NewGuard(table, testLease, testVM), func(_ context.Context, o Order) error {
			attempted = append(attempted, o.Model)
			return errors.New("no such model")
		}, nil)
		held := mustAcquire(t, table)
		mustIssue(t, table, held, "typo")
		pollFor := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(pollInterval) {
				_ = e.poll(t.Context())
			}
		}
		pollFor(minRetryDelay)
		pollFor(2 * minRetryDelay)
		pollFor(4 * minRetryDelay)
		if len(attempted) != 3 {
			t.Fatalf("%d attempts in 7 minutes, want 3", len(attempted))
		}
		pollFor(24 * time.Hour)
		if len(attempted) > 3+int(24*time.Hour/maxRetryDelay)+4 {
			t.Fatalf("%d attempts in a day", len(attempted))
		}
		mustIssue(t, table, mustAcquire(t, table), "good")
		if _ = e.poll(t.Context()); !slices.Equal(attempted[len(attempted)-1:], []string{"good"}) {
			t.Fatal("a different order was delayed by the failed order's backoff")
		}
	})
}
