package follow

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/logging"
	"github.com/applepier/applepier/internal/pause"
)

const (
	// idleCheckInterval is how often an idle follower checks whether other gateways still poll the
	// table.
	idleCheckInterval = 50 * time.Millisecond
	// gossipDelay is how long gateways take to announce to each other that the store responds to
	// them. The announcements decide which gateway reads first.
	gossipDelay = 150 * time.Millisecond
	// maxFullReadDelay is how long a follower delays a full read to let others read first.
	maxFullReadDelay = 500 * time.Millisecond
)

// waitWhileIdle waits while other gateways poll the table.
func (f *Follower[T]) waitWhileIdle(ctx context.Context) {
	if f.Idle == nil || !f.Idle() {
		return
	}
	f.live.Store(false)
	f.wasIdle = true
	f.Log.Info(logging.EventStorePollingStopped, zap.String("table", f.Name))
	for f.Idle() && ctx.Err() == nil {
		pause.Sleep(ctx, idleCheckInterval)
	}
	if ctx.Err() == nil {
		f.Log.Info(logging.EventStorePollingStarted, zap.String("table", f.Name))
	}
}

// delayFullRead gives other gateways time to read the complete table and to share it, unless the known
// table may already be too old.
func (f *Follower[T]) delayFullRead(ctx context.Context) {
	overdue := func() bool { return f.Overdue != nil && f.Overdue() }
	if f.DefersFullRead != nil && !overdue() {
		pause.Sleep(ctx, gossipDelay)
	}
	for deadline := time.Now().Add(maxFullReadDelay); f.Idle != nil && f.DefersFullRead != nil && time.Now().Before(deadline) && ctx.Err() == nil; {
		if !f.DefersFullRead() || f.Idle() || overdue() {
			return
		}
		pause.Sleep(ctx, idleCheckInterval)
	}
}
