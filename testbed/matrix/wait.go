package matrix

import (
	"context"
	"time"

	"github.com/applepier/applepier/internal/pause"
)

// pollPause is the pause between two looks at a condition.
const pollPause = 20 * time.Millisecond

// until polls a condition and reports whether it was met before ctx ended.
func until(ctx context.Context, met func() bool) bool {
	for !met() {
		if !pause.For(ctx, pollPause) {
			return false
		}
	}
	return true
}

// pause keeps a caller whose calls fail at once from spinning; false ends it.
func (r *rig) pause(ctx context.Context, ending <-chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	case <-ending:
		return false
	case <-time.After(pollPause):
		return true
	}
}
