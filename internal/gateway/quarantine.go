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
	// quarantineRetention is how long after its last crash a stored request or segment is still
	// loaded by starting gateways.
	quarantineRetention = 24 * time.Hour
	// minPeerWait is the shortest time that a starting gateway waits for other gateways to announce
	// that they know what is quarantined, before it reads the store. A random delay of up to
	// the same length is added, so that only a few of the gateways that start together read the
	// store.
	minPeerWait = 300 * time.Millisecond
	// maxPeerWait is how long a starting gateway receives what is quarantined from others that know
	// it. Their datagrams repeat the suspicions one at a time; dozens arrive in that time.
	maxPeerWait = 2 * time.Second
	// maxPendingQuarantine bounds the changes waiting to be written to the store. What isn't written
	// is still known to all gateways as long as one of those gateways runs.
	maxPendingQuarantine = 64
)

// QuarantineStore persists quarantined requests and prompt segments, so that they outlive the gateways.
type QuarantineStore interface {
	// Read returns all that are stored, with a zero Seen.
	Read(ctx context.Context) ([]policy.Suspicion, error)
	// Write stores a suspicion, replacing a stored one with the same ID.
	Write(ctx context.Context, s policy.Suspicion) error
	// Delete deletes the suspicion with the ID.
	Delete(ctx context.Context, id policy.SuspectID) error
}

// quarantineChange is a change of the quarantine that is to be written to the store. Only the ID of the
// suspicion is set if it was released.
type quarantineChange struct {
	suspicion policy.Suspicion
	released  bool
}

// syncQuarantine loads what was quarantined before this gateway started, then writes changes to the
// store until ctx ends.
func (g *gateway) syncQuarantine(ctx context.Context) {
	g.loadQuarantine(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case change := <-g.pendingQuarantine:
			g.retryUntilDone(ctx, logging.EventQuarantineFailed, func(ctx context.Context) error {
				if change.released {
					return g.platform.Quarantine.Delete(ctx, change.suspicion.ID)
				}
				return g.platform.Quarantine.Write(ctx, change.suspicion)
			})
		}
	}
}

// loadQuarantine gets what is quarantined from other gateways or, if none of them knows it, from the
// store.
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

// readStoredQuarantine loads what is quarantined from the store, and deletes that of which the last
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
		if err := g.platform.Quarantine.Delete(ctx, s.ID); err != nil {
			// The next gateway that starts deletes it.
			g.log.Warn(logging.EventQuarantineFailed, zap.Stringer("fingerprint", s.ID), logging.Reason(err.Error()))
		}
	}
	g.router.MergeSuspicions(current)
	return nil
}

// enqueueQuarantineChange queues a change to be written to the store. If the queue is full, it logs
// the change and drops it.
func (g *gateway) enqueueQuarantineChange(change quarantineChange) {
	select {
	case g.pendingQuarantine <- change:
	default:
		g.log.Warn(logging.EventQuarantineFailed, zap.Stringer("fingerprint", change.suspicion.ID), logging.Reason("too many changes waiting to be stored"))
	}
}
