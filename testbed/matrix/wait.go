package matrix

import (
	"context"
	"time"

	"github.com/applepier/applepier/internal/pause"
)

// pollInterval is the interval between two checks of a condition.
const pollInterval = 20 * time.Millisecond

// pollUntil polls a condition and reports whether it was met before ctx ended.
func pollUntil(ctx context.Context, condition func() bool) bool {
	for !condition() {
		if !pause.Sleep(ctx, pollInterval) {
			return false
		}
	}
	return true
}

// waitPollInterval waits for pollInterval, so that a caller whose calls fail at once doesn't
// spin. It reports false if ctx or stopping ended the wait.
func (h *harness) waitPollInterval(ctx context.Context, stopping <-chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	case <-stopping:
		return false
	case <-time.After(pollInterval):
		return true
	}
}
