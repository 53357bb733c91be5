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
	// quarantineRetention is how long after its last crash a stored quarantined request is still
	// loaded by starting gateways.
	quarantineRetention = 24 * time.Hour
	// minPeerWait is the shortest time that a starting gateway waits for other gateways to announce
	// that they know the quarantined requests, before it reads the store. A random delay of up to
	// the same length is added, so that only a few of the gateways that start together read the
	// store.
	minPeerWait = 300 * time.Millisecond
	// maxPeerWait is how long a starting gateway receives the quarantined requests from others that
	// know them. Their datagrams repeat the requests one at a time; dozens arrive in that time.
	maxPeerWait = 2 * time.Second
	// maxPendingQuarantine bounds the requests waiting to be written to the store. Requests that
	// aren't written are still known to all gateways as long as one of those gateways runs.
	maxPendingQuarantine = 64
)

// QuarantineStore persists quarantined requests, so that they outlive the gateways.
type QuarantineStore interface {
	// Read returns all stored requests, with a zero Seen.
	Read(ctx context.Context) ([]policy.Suspicion, error)
	// Write stores a request, replacing a stored one with the same fingerprint.
	Write(ctx context.Context, s policy.Suspicion) error
	// Delete deletes the request with the fingerprint.
	Delete(ctx context.Context, f policy.Fingerprint) error
}

// syncQuarantine loads the requests quarantined before this gateway started, then writes newly
// quarantined requests to the store until ctx ends.
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

// loadQuarantine gets the quarantined requests from other gateways or, if none of them knows them,
// from the store.
func (g *gateway) loadQuarantine(ctx context.Context) {
	pause.Sleep(ctx, minPeerWait+rand.N(minPeerWait))
	for waited := time.Duration(0); waited < maxPeerWait; waited += peerCheckInterval {
		if !g.mesh.PeerKnowsQuarantine() {
			g.retryUntilDone(ctx, logging.EventQuarantineFailed, g.readStoredQuarantine)
			break
		}
		pause.Sleep(ctx, peerCheckInterval)
	}
	g.quarantineLoaded.Store(true)
}

// readStoredQuarantine loads the quarantined requests from the store, and deletes those whose last
// crash is longer ago than quarantineRetention. It returns the store's error if reading fails; failed
// deletions are logged.
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
		if err := g.platform.Quarantine.Delete(ctx, s.Fingerprint); err != nil {
			// The next gateway that starts deletes it.
			g.log.Warn(logging.EventQuarantineFailed, zap.Stringer("fingerprint", s.Fingerprint), logging.Reason(err.Error()))
		}
	}
	g.router.MergeSuspicions(current)
	return nil
}

// enqueueQuarantined queues a newly quarantined request to be written to the store. If the queue is
// full, it logs the request and drops it.
func (g *gateway) enqueueQuarantined(s policy.Suspicion) {
	select {
	case g.pendingQuarantine <- s:
	default:
		g.log.Warn(logging.EventQuarantineFailed, zap.Stringer("fingerprint", s.Fingerprint), logging.Reason("too many requests waiting to be stored"))
	}
}
