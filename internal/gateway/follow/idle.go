package follow

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/logging"
	"github.com/applepier/applepier/internal/pause"
)

const (
	// idleEvery is how often a follower that rests looks whether others still follow.
	idleCheckInterval = 50 * time.Millisecond
	// gossipDelay is how long gateways take to exchange that the store answers them, by which
	// they know who reads first.
	gossipDelay = 150 * time.Millisecond
	// deferRead is for how long a follower defers reading the whole again to others.
	maxFullReadDelay = 500 * time.Millisecond
)

// rest waits while others follow the table.
func (f *Follower[T]) waitWhileIdle(ctx context.Context) {
	if f.Idle == nil || !f.Idle() {
		return
	}
	f.live.Store(false)
	f.wasIdle = true
	f.Log.Info(logging.EventStoreLeft, zap.String("table", f.Name))
	for f.Idle() && ctx.Err() == nil {
		pause.For(ctx, idleCheckInterval)
	}
	if ctx.Err() == nil {
		f.Log.Info(logging.EventStoreAsked, zap.String("table", f.Name))
	}
}

// deferToOthers gives others the time to read the whole table and to share it.
func (f *Follower[T]) delayFullRead(ctx context.Context) {
	if f.Defers != nil {
		pause.For(ctx, gossipDelay)
	}
	for deadline := time.Now().Add(maxFullReadDelay); f.Idle != nil && f.Defers != nil && time.Now().Before(deadline) && ctx.Err() == nil; {
		if !f.Defers() || f.Idle() {
			return
		}
		pause.For(ctx, idleCheckInterval)
	}
}
