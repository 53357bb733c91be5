package follow

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/applepier/applepier/internal/pause"
)

// awaitEvery is how often a follower that waits looks whether the store is back.
const availabilityCheckInterval = 50 * time.Millisecond

// Health is whether a store answers, as far as its followers know. The zero value
// is a store that does. A nil one knows nothing. All methods may be called
// concurrently.
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

// Away reports whether the store didn't answer the last call.
func (h *Health) Away() bool { return h != nil && h.unavailable.Load() }

// await returns when the store answers again, at a time at the latest.
func (h *Health) waitAvailable(ctx context.Context, deadline time.Time) {
	for h.unavailable.Load() && ctx.Err() == nil && time.Now().Before(deadline) {
		pause.For(ctx, availabilityCheckInterval)
	}
}
