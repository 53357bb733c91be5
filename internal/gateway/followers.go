package gateway

import (
	"time"

	"github.com/applepier/applepier/internal/boottime"
	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/follow"
	"github.com/applepier/applepier/internal/gateway/routes"
)

const (
	// desiredStateMaxWait is how long the store may hold back an answer about the
	// desired state, where operators set no bound for keys that are taken away.
	// Where they do, it is proofPart of what the bound leaves beside the second
	// for which a feed may be silent: each answer proves that the state in
	// force was the newest a second ago. The rest is for callers:
	// requests with a key are served on so long while the store is away. Only a
	// few gateways make these calls.
	desiredStateMaxWait = 2500 * time.Millisecond
	proofWaitShare      = 0.25
	// pollerCount is how many gateways ask so often for the proof of the desired
	// state; the others, which have it from them by datagram, ask every
	// provedByOthers, or at once when it gets older than hurryPart of the bound.
	// Two may be cut off or dying, and the third proves. Calls are paid for.
	pollerCount       = 3
	nonPollerWait     = 15 * time.Second
	proofRenewalShare = 0.7
	// proofDeliverySlack is by how much a proof may come later than pollers have one at the longest,
	// for a few datagrams that are lost.
	proofDeliverySlack = 400 * time.Millisecond
	// minProofWait bounds the calls where the bound leaves hardly any time.
	minProofWait = 200 * time.Millisecond
	// serverListMaxWait is the same for the list of backend servers, which proves
	// nothing: keep-alive probes notice within three seconds that a connection
	// to the store went silent. Each call is paid for.
	serverListMaxWait = 15 * time.Second
	// serverListBatchDelay is the pause after news of backend servers: short against
	// the two seconds within which leaving ones get no more work, long enough
	// that a start of all servers takes a dozen calls and not one for each.
	serverListBatchDelay = 250 * time.Millisecond
	// gatewayListMaxWait is the same for the list of gateways, on which nothing
	// hangs: who isn't in it yet is heard of.
	gatewayListMaxWait = 30 * time.Second
	// gatewayListBatchDelay is the same for gateways: each hears of all others within
	// two seconds of a start of all.
	gatewayListBatchDelay = 2 * time.Second
)

// newDesiredStateFollower returns the follower of the desired state.
func (g *gateway) newDesiredStateFollower() *follow.Follower[*routes.Set] {
	return &follow.Follower[*routes.Set]{
		Name: "desired state", Source: g.platform.Desired, Sink: g.sink,
		Wait: g.desiredStateWait, Confirm: g.isPoller, Hurry: g.proofNeedsRenewal, Arriving: &g.receivingState, Idle: func() bool { return g.desiredStateFromPeers() && !g.proofOverdue() }, Defers: g.defersToPollers,
		Store: &g.storeHealth, Leads: true, Asked: g.platform.Metrics.StoreAsked("targets"), Restored: g.platform.Metrics.StoreRestored("targets"), Log: g.log,
	}
}

// desiredStateWait is how long the store may hold back an answer about the desired
// state under the settings in force.
func (g *gateway) desiredStateWait() time.Duration {
	if !g.isPoller() {
		return nonPollerWait
	}
	return pollerWait(g.router.Bounds().Proof)
}

// isPoller reports whether this gateway is one of those that ask often, and at once
// after news.
func (g *gateway) isPoller() bool { return g.mesh.Before() < pollerCount }

// proofOverdue reports whether the proof is older than it gets while pollers have answers
// from the store. A poller to which the store falls silent notices that by its timeout, which
// is too late for what the others have to know within two seconds.
func (g *gateway) proofOverdue() bool {
	provenAt := g.holder.ProvenAt()
	return provenAt != 0 && boottime.Now()-provenAt > maxFeedSilence+pollerWait(g.router.Bounds().Proof)+proofDeliverySlack
}

// defersToPollers reports whether other gateways poll the store for all.
func (g *gateway) defersToPollers() bool { return !g.isPoller() }

// proofNeedsRenewal reports whether the proof of the desired state has to be renewed here,
// whoever was to do it.
func (g *gateway) proofNeedsRenewal() bool {
	maxAge := g.router.Bounds().Proof
	if maxAge == 0 || g.holder.Version() == 0 {
		// Of no state nothing is to be proved; the first one ends the call.
		return false
	}
	return boottime.Now()-g.holder.ProvenAt() > time.Duration(proofRenewalShare*float64(maxAge))
}

// pollerWait is how long the store may hold back an answer about the desired
// state, by how old its proof may be; 0 for no bound.
func pollerWait(maxProofAge time.Duration) time.Duration {
	if maxProofAge == 0 {
		return desiredStateMaxWait
	}
	return min(desiredStateMaxWait, max(time.Duration(proofWaitShare*float64(maxProofAge-maxFeedSilence)), minProofWait))
}

// newServersFollower returns the follower of the list of backend servers.
func (g *gateway) newServersFollower() *follow.Follower[backend.Info] {
	return &follow.Follower[backend.Info]{
		Name: "backend servers", Source: g.platform.Servers, Sink: &serverListSink{registry: g.registry, log: g.log},
		Wait: follow.Always(serverListMaxWait), Gather: serverListBatchDelay, Idle: func() bool { return g.serversFromPeers() && !g.proofOverdue() }, Defers: g.defersToPollers,
		Store: &g.storeHealth, Asked: g.platform.Metrics.StoreAsked("backend_servers"), Restored: g.platform.Metrics.StoreRestored("backend_servers"), Log: g.log,
	}
}
