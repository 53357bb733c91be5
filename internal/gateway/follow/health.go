package follow

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/applepier/applepier/internal/pause"
)

// availabilityCheckInterval is how often a waiting follower checks whether the store is available
// again.
const availabilityCheckInterval = 50 * time.Millisecond

// Health is the availability of a store as its followers observe it. The zero value means
// available; a nil Health records nothing. All methods are safe for concurrent use.
type Health struct{ unavailable atomic.Bool }

func (h *Health) markAvailable() {
	if h != nil {
		h.unavailable.Store(false)
	}
}

func (h *Health) markUnavailable() {
	if h != nil {
		h.unavailable.Store(true)
	}
}

// Unavailable reports whether the last call to the store failed.
func (h *Health) Unavailable() bool { return h != nil && h.unavailable.Load() }

// waitAvailable waits until the store is available again, the deadline passes or ctx ends.
func (h *Health) waitAvailable(ctx context.Context, deadline time.Time) {
	for h.unavailable.Load() && ctx.Err() == nil && time.Now().Before(deadline) {
		pause.Sleep(ctx, availabilityCheckInterval)
	}
}
