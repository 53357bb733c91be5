package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/logging"
	"github.com/applepier/applepier/internal/pause"
	"github.com/applepier/applepier/policy"
)

const (
	// quarantineRetention is for how long a request that was quarantined is quarantined by gateways
	// that start.
	quarantineRetention = 24 * time.Hour
	// minPeerWait is how long a gateway that starts waits at least for others to tell that
	// they know what is quarantined, before it asks the store; up to as much more is drawn, so
	// that of those that start together a few ask.
	minPeerWait = 300 * time.Millisecond
	// maxPeerWait is for how long it listens to them: dozens of requests are told in that
	// time.
	maxPeerWait = 2 * time.Second
	// maxPendingQuarantine bounds the requests that wait for the store; all gateways know them
	// anyway as long as one of these runs.
	maxPendingQuarantine = 64
)

// Quarantine keeps requests that are quarantined beyond the life of all gateways.
type Quarantine interface {
	Read(ctx context.Context) ([]policy.Suspicion, error)
	Write(ctx context.Context, s policy.Suspicion) error
	Drop(ctx context.Context, f policy.Fingerprint) error
}

// syncQuarantine takes what was quarantined before this gateway started, and stores what it
// quarantines from then on.
func (g *gateway) syncQuarantine(ctx context.Context) {
	g.loadQuarantine(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-g.pendingQuarantine:
			g.retryUntilDone(ctx, logging.EventQuarantineFailed, func(ctx context.Context) error {
				return g.platform.Quarantine.Write(ctx, s)
			})
		}
	}
}

// loadQuarantine has what is quarantined from other gateways, or, where none knows it, from
// the store.
func (g *gateway) loadQuarantine(ctx context.Context) {
	pause.For(ctx, minPeerWait+rand.N(minPeerWait))
	for waited := time.Duration(0); waited < maxPeerWait; waited += peerCheckInterval {
		if !g.mesh.Quarantined() {
			g.retryUntilDone(ctx, logging.EventQuarantineFailed, g.readStoredQuarantine)
			break
		}
		pause.For(ctx, peerCheckInterval)
	}
	g.quarantineLoaded.Store(true)
}

func (g *gateway) readStoredQuarantine(ctx context.Context) error {
	stored, err := g.platform.Quarantine.Read(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	var current []policy.Suspicion
	for _, s := range stored {
		if now.Sub(s.LastCrash()) <= quarantineRetention {
			s.Seen = now
			current = append(current, s)
			continue
		}
		if err := g.platform.Quarantine.Drop(ctx, s.Fingerprint); err != nil {
			// The next gateway that starts drops it.
			g.log.Warn(logging.EventQuarantineFailed, zap.Stringer("fingerprint", s.Fingerprint), logging.Reason(err.Error()))
		}
	}
	g.router.Suspect(current)
	return nil
}

// enqueueQuarantined stores a request that is quarantined from now on.
func (g *gateway) enqueueQuarantined(s policy.Suspicion) {
	select {
	case g.pendingQuarantine <- s:
	default:
		g.log.Warn(logging.EventQuarantineFailed, zap.Stringer("fingerprint", s.Fingerprint), logging.Reason("too many wait for the store"))
	}
}
