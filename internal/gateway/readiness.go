package gateway

import (
	"time"

	"github.com/applepier/applepier/internal/boottime"
)

const (
	// confirmationRetryMargin is the time, beyond the longest wait of a call to the store, after
	// which a missing confirmation means that the store doesn't respond. A call that failed once has
	// been retried by then.
	confirmationRetryMargin = 800 * time.Millisecond
	// storeRejectionTimeout is how long this gateway retries calls to a store that rejects it, but
	// responds to others, before it sends callers to other gateways.
	storeRejectionTimeout = 500 * time.Millisecond
)

// ready reports whether the load balancer may send new connections to this gateway.
func (g *gateway) ready() bool {
	return !g.draining.Load() && g.holder.Current() != nil && g.registry.Loaded() && !g.isolated()
}

// sheddingCallers reports whether callers should reconnect to another gateway.
func (g *gateway) sheddingCallers() bool { return g.draining.Load() || g.isolated() }

// isolated reports whether other gateways serve callers better than this one. That is the case when
// the store responds to others but rejects this gateway, which then depends on their confirmations
// alone; or when this gateway is cut off from the store and from most other gateways, so that it
// refuses requests with a key. If the store is unavailable to all gateways, no other gateway would
// serve callers better, and public routes continue to be served.
func (g *gateway) isolated() bool {
	confirmedAt := g.holder.ConfirmedAt()
	maxConfirmationAge := maxFeedSilence + pollerWait(g.router.Bounds().MaxStateAge) + confirmationRetryMargin
	if storeResponds := boottime.Now()-confirmedAt <= maxConfirmationAge; storeResponds {
		ownConfirmedAt := time.Duration(g.desiredStateSink.storeConfirmedAt.Load())
		ownConfirmationLate := confirmedAt-ownConfirmedAt > g.desiredStateWait()+confirmationRetryMargin && !g.desiredStateFromPeers()
		return ownConfirmationLate || g.desiredStateSink.unavailableFor() > storeRejectionTimeout && confirmedAt > ownConfirmedAt
	}
	return !g.router.StateFresh() && 2*g.mesh.LiveGateways() <= g.mesh.ListedGateways()
}
