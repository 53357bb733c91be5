package follow

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/applepier/applepier/internal/pause"
)

// awaitEvery is how often a follower that waits looks whether the store is back.
const awaitEvery = 50 * time.Millisecond

// Health is whether a store answers, as far as its followers know. The zero value
// is a store that does. A nil one knows nothing. All methods may be called
// concurrently.
type Health struct{ away atomic.Bool }

func (h *Health) answers() {
	if h != nil {
		h.away.Store(false)
	}
}

func (h *Health) fails() {
	if h != nil {
		h.away.Store(true)
	}
}

// Away reports whether the store didn't answer the last call.
func (h *Health) Away() bool { return h != nil && h.away.Load() }

// await returns when the store answers again, at a time at the latest.
func (h *Health) await(ctx context.Context, latest time.Time) {
	for h.away.Load() && ctx.Err() == nil && time.Now().Before(latest) {
		pause.For(ctx, awaitEvery)
	}
}
