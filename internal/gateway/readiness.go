package gateway

import (
	"time"

	"github.com/applepier/applepier/internal/boottime"
)

const (
	// peerProofLead is by how much more than a call's wait others' proofs are ahead
	// of this gateway's own when the store doesn't answer it: a call that failed
	// once has been made again by then.
	peerProofLead = 800 * time.Millisecond
	// storeRejectionTimeout is for how long a store that turns this gateway away, while it
	// answers others, is tried again before callers are sent to those.
	storeRejectionTimeout = 500 * time.Millisecond
)

// ready reports whether the balancer may send new connections here.
func (g *gateway) ready() bool {
	return !g.draining.Load() && g.holder.Current() != nil && g.registry.Known() && !g.isolated()
}

// sheddingClients reports whether callers are to go to another gateway.
func (g *gateway) sheddingClients() bool { return g.draining.Load() || g.isolated() }

// isolated reports whether callers are better served elsewhere: the store turns
// this gateway away while it answers others, on whose proofs alone it serves; or
// it is cut off from the store and from most other gateways, and refuses
// requests with a key. Where the store is away from all of them nobody would
// serve callers better, and public routes are served on.
func (g *gateway) isolated() bool {
	provenAt := g.holder.ProvenAt()
	maxProofAge := maxFeedSilence + pollerWait(g.router.Bounds().Proof) + peerProofLead
	if storeAnswers := boottime.Now()-provenAt <= maxProofAge; storeAnswers {
		ownProvenAt := time.Duration(g.sink.storeProvenAt.Load())
		ownProofLate := provenAt-ownProvenAt > g.desiredStateWait()+peerProofLead && !g.desiredStateFromPeers()
		return ownProofLate || g.sink.unavailableFor() > storeRejectionTimeout && provenAt > ownProvenAt
	}
	return !g.router.Fresh() && 2*g.mesh.Gateways() <= g.mesh.Listed()
}
