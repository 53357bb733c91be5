package gateway

import (
	"time"

	"github.com/applepier/applepier/internal/boottime"
	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/follow"
	"github.com/applepier/applepier/internal/gateway/routes"
)

const (
	// desiredWait is how long the store may hold back an answer about the
	// desired state, where operators set no bound for keys that are taken away.
	// Where they do, it is proofPart of what the bound leaves beside the second
	// for which a feed may be silent: each answer proves that the state in
	// force was the newest a second ago. The rest is for callers:
	// requests with a key are served on so long while the store is away. Only a
	// few gateways make these calls.
	desiredWait = 2500 * time.Millisecond
	proofPart   = 0.25
	// provers is how many gateways ask so often for the proof of the desired
	// state; the others, which have it from them by datagram, ask every
	// provedByOthers, or at once when it gets older than hurryPart of the bound.
	// Two may be cut off or dying, and the third proves. Calls are paid for.
	provers        = 3
	provedByOthers = 15 * time.Second
	hurryPart      = 0.7
	// proofSlack is by how much a proof may come later than pollers have one at the longest,
	// for a few datagrams that are lost.
	proofSlack = 400 * time.Millisecond
	// leastWait bounds the calls where the bound leaves hardly any time.
	leastWait = 200 * time.Millisecond
	// serversWait is the same for the list of backend servers, which proves
	// nothing: keep-alive probes notice within three seconds that a connection
	// to the store went silent. Each call is paid for.
	serversWait = 15 * time.Second
	// serversGather is the pause after news of backend servers: short against
	// the two seconds within which leaving ones get no more work, long enough
	// that a start of all servers takes a dozen calls and not one for each.
	serversGather = 250 * time.Millisecond
	// entriesWait is the same for the list of gateways, on which nothing
	// hangs: who isn't in it yet is heard of.
	entriesWait = 30 * time.Second
	// entriesGather is the same for gateways: each hears of all others within
	// two seconds of a start of all.
	entriesGather = 2 * time.Second
)

// newTargetsFollower returns the follower of the desired state.
func (g *gateway) newTargetsFollower() *follow.Follower[*routes.Set] {
	return &follow.Follower[*routes.Set]{
		Name: "desired state", Source: g.platform.Desired, Sink: g.desired,
		Wait: g.proofWait, Confirm: g.proves, Hurry: g.proofOld, Arriving: &g.arriving, Idle: func() bool { return g.targetsTold() && !g.proofOverdue() }, Defers: g.defersToPollers,
		Store: &g.store, Leads: true, Asked: g.platform.Metrics.StoreAsked("targets"), Restored: g.platform.Metrics.StoreRestored("targets"), Log: g.log,
	}
}

// proofWait is how long the store may hold back an answer about the desired
// state under the settings in force.
func (g *gateway) proofWait() time.Duration {
	if !g.proves() {
		return provedByOthers
	}
	return provedWithin(g.router.Bounds().Proof)
}

// proves reports whether this gateway is one of those that ask often, and at once
// after news.
func (g *gateway) proves() bool { return g.mesh.Before() < provers }

// proofOverdue reports whether the proof is older than it gets while pollers have answers
// from the store. A poller to which the store falls silent notices that by its timeout, which
// is too late for what the others have to know within two seconds.
func (g *gateway) proofOverdue() bool {
	proved := g.holder.ProvenAt()
	return proved != 0 && boottime.Now()-proved > feedSilence+provedWithin(g.router.Bounds().Proof)+proofSlack
}

// defersToPollers reports whether other gateways poll the store for all.
func (g *gateway) defersToPollers() bool { return !g.proves() }

// proofOld reports whether the proof of the desired state has to be renewed here,
// whoever was to do it.
func (g *gateway) proofOld() bool {
	bound := g.router.Bounds().Proof
	if bound == 0 || g.holder.Version() == 0 {
		// Of no state nothing is to be proved; the first one ends the call.
		return false
	}
	return boottime.Now()-g.holder.ProvenAt() > time.Duration(hurryPart*float64(bound))
}

// provedWithin is how long the store may hold back an answer about the desired
// state, by how old its proof may be; 0 for no bound.
func provedWithin(bound time.Duration) time.Duration {
	if bound == 0 {
		return desiredWait
	}
	return min(desiredWait, max(time.Duration(proofPart*float64(bound-feedSilence)), leastWait))
}

// newServersFollower returns the follower of the list of backend servers.
func (g *gateway) newServersFollower() *follow.Follower[backend.Info] {
	return &follow.Follower[backend.Info]{
		Name: "backend servers", Source: g.platform.Servers, Sink: &servers{registry: g.registry, log: g.log},
		Wait: follow.Always(serversWait), Gather: serversGather, Idle: func() bool { return g.serversTold() && !g.proofOverdue() }, Defers: g.defersToPollers,
		Store: &g.store, Asked: g.platform.Metrics.StoreAsked("backend_servers"), Restored: g.platform.Metrics.StoreRestored("backend_servers"), Log: g.log,
	}
}
