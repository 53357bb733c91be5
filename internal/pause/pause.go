// Package pause waits for a time, or for less. Start reading at For.
package pause

import (
	"context"
	"time"
)

// For waits for d, or until ctx ends, and reports whether ctx goes on.
func For(ctx context.Context, d time.Duration) bool {
	if d > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(d):
		}
	}
	return ctx.Err() == nil
}
