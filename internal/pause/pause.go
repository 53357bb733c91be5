// Package pause implements a sleep that a context can interrupt. Start reading at
// Sleep.
package pause

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx is done, and reports whether ctx is still active.
// It returns immediately if d is zero or negative.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(d):
		}
	}
	return ctx.Err() == nil
}
