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

// overdue reports whether the known table may be too old to rely on other gateways.
func (f *Follower[T]) overdue() bool { return f.Overdue != nil && f.Overdue() }

// idle reports whether this follower needn't call the store.
func (f *Follower[T]) idle() bool { return f.Idle != nil && f.Idle() && !f.overdue() }

// waitWhileIdle waits while other gateways poll the table.
func (f *Follower[T]) waitWhileIdle(ctx context.Context) {
	if !f.idle() {
		return
	}
	f.live.Store(false)
	f.wasIdle = true
	f.Log.Info(logging.EventStorePollingStopped, zap.String("table", f.Name))
	for f.idle() && ctx.Err() == nil {
		pause.Sleep(ctx, idleCheckInterval)
	}
	if ctx.Err() == nil {
		f.Log.Info(logging.EventStorePollingStarted, zap.String("table", f.Name))
	}
}

// delayFullRead gives other gateways time to read the complete table and to share it, unless the known
// table may already be too old.
func (f *Follower[T]) delayFullRead(ctx context.Context) {
	if f.DefersFullRead == nil || f.overdue() {
		return
	}
	pause.Sleep(ctx, gossipDelay)
	for deadline := time.Now().Add(maxFullReadDelay); f.Idle != nil && time.Now().Before(deadline) && ctx.Err() == nil; {
		if !f.DefersFullRead() || f.idle() || f.overdue() {
			return
		}
		pause.Sleep(ctx, idleCheckInterval)
	}
}
