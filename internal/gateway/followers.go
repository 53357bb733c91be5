package gateway

import (
	"time"

	"github.com/applepier/applepier/internal/boottime"
	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/follow"
	"github.com/applepier/applepier/internal/gateway/routes"
)

const (
	// desiredStateMaxWait is how long the store may hold a poller's request for the desired state
	// (a long poll) where operators set no bound on key revocation. Where they set one, the wait is
	// confirmationWaitShare of the bound less maxFeedSilence, since each response confirms the
	// state in force only as of one second before. The rest of the bound is how long requests with
	// a key can still be served while the store is unavailable.
	desiredStateMaxWait   = 2500 * time.Millisecond
	confirmationWaitShare = 0.25
	// pollerCount is the number of gateways that poll the store frequently to confirm that the
	// desired state is the newest. The others receive the confirmation by datagram. While they have
	// to poll the store themselves, they let it hold a request for nonPollerWait, but repeat the
	// request with a short wait once the confirmation is older than confirmationRenewalShare of the
	// bound. With three pollers, two may be cut off or failing while the third still provides the
	// confirmation. The number is small because calls to the store are paid for.
	pollerCount              = 3
	nonPollerWait            = 15 * time.Second
	confirmationRenewalShare = 0.7
	// confirmationDeliverySlack is how much later than a poller's longest wait a confirmation may
	// arrive, to allow for a few lost datagrams.
	confirmationDeliverySlack = 400 * time.Millisecond
	// minPollerWait is the shortest wait of a poller, used where the bound leaves hardly any time.
	minPollerWait = 200 * time.Millisecond
	// serverListMaxWait is how long the store may hold a request for the list of backend servers while
	// the responses for the desired state confirm the list. It is long because each call is paid for.
	serverListMaxWait = 15 * time.Second
	// serverListCoalesceDelay is the pause after a change of the list of backend servers. It is
	// short compared to the two seconds after which draining servers must get no more work, and long
	// enough that a start of all servers takes a dozen calls rather than one per server.
	serverListCoalesceDelay = 250 * time.Millisecond
	// gatewayListMaxWait is how long the store may hold a request for the list of gateways. Nothing
	// depends on it being current: gateways not yet listed are known by their datagrams.
	gatewayListMaxWait = 30 * time.Second
	// gatewayListCoalesceDelay is the pause after a change of the list of gateways. When all
	// gateways start at once, each receives datagrams from all others within two seconds.
	gatewayListCoalesceDelay = 2 * time.Second
)

// newDesiredStateFollower returns the follower of the desired state.
func (g *gateway) newDesiredStateFollower() *follow.Follower[*routes.Snapshot] {
	return &follow.Follower[*routes.Snapshot]{
		Name: "desired state", Source: g.platform.DesiredState, Sink: g.desiredStateSink,
		MaxWait: g.desiredStateWait, ConfirmChanges: g.isPoller, ShouldCancelPoll: g.confirmationNeedsRenewal, Receiving: &g.receivingState, Idle: func() bool { return g.desiredStateFromPeers() && !g.confirmationOverdue() }, DefersFullRead: g.defersToPollers,
		OnResponse:  g.confirmServerList,
		StoreHealth: &g.storeHealth, ProbesStore: true, OnCall: g.platform.Metrics.StoreCallCounter("targets"), OnRestore: g.platform.Metrics.StoreRestoreCounter("targets"), Log: g.log,
	}
}

// desiredStateWait returns how long the store may hold a request for the desired state under the
// settings in force, which differs between pollers and other gateways.
func (g *gateway) desiredStateWait() time.Duration {
	if !g.isPoller() {
		return nonPollerWait
	}
	return pollerWait(g.router.Bounds().MaxStateAge)
}

// isPoller reports whether this gateway is one of the pollerCount gateways that poll the store
// frequently, and again immediately after a change.
func (g *gateway) isPoller() bool { return g.mesh.PrecedingPeers() < pollerCount }

// confirmationOverdue reports whether the confirmation is older than it can become while the pollers
// receive responses from the store. A poller detects that the store has stopped responding only when
// its call times out, which is too late for changes that other gateways must learn within two
// seconds.
func (g *gateway) confirmationOverdue() bool {
	confirmedAt := g.holder.ConfirmedAt()
	return confirmedAt != 0 && boottime.Now()-confirmedAt > maxFeedSilence+pollerWait(g.router.Bounds().MaxStateAge)+confirmationDeliverySlack
}

// defersToPollers reports whether this gateway leaves polling the store to other gateways.
func (g *gateway) defersToPollers() bool { return !g.isPoller() }

// confirmationNeedsRenewal reports whether this gateway must confirm the desired state itself,
// whether or not it is a poller.
func (g *gateway) confirmationNeedsRenewal() bool {
	maxAge := g.router.Bounds().MaxStateAge
	if maxAge == 0 || g.holder.Version() == 0 {
		// Without a bound no renewal is needed. Without a state there is nothing to confirm, and
		// the first state ends the pending call.
		return false
	}
	return boottime.Now()-g.holder.ConfirmedAt() > time.Duration(confirmationRenewalShare*float64(maxAge))
}

// pollerWait returns how long the store may hold a poller's request for the desired state, given
// the maximum age of a confirmation. A maximum of 0 means no bound.
func pollerWait(maxStateAge time.Duration) time.Duration {
	if maxStateAge == 0 {
		return desiredStateMaxWait
	}
	return min(desiredStateMaxWait, max(time.Duration(confirmationWaitShare*float64(maxStateAge-maxFeedSilence)), minPollerWait))
}

// newServersFollower returns the follower of the list of backend servers.
func (g *gateway) newServersFollower() *follow.Follower[backend.Info] {
	sink := &serverListSink{
		registry: g.registry, log: g.log,
		confirmedAt: func() time.Duration { return g.servers.ConfirmedAt() },
		maxGap:      func() time.Duration { return time.Duration(g.drainBound.Load()) },
	}
	return &follow.Follower[backend.Info]{
		Name: "backend servers", Source: g.platform.Servers, Sink: sink,
		MaxWait: g.serverListWait, CoalesceDelay: serverListCoalesceDelay, ShouldCancelPoll: g.serverListNeedsRenewal,
		Idle: func() bool { return g.serversFromPeers() && !g.confirmationOverdue() }, DefersFullRead: g.defersToPollers, Overdue: g.serverListOverdue,
		StoreHealth: &g.storeHealth, OnCall: g.platform.Metrics.StoreCallCounter("backend_servers"), OnRestore: g.platform.Metrics.StoreRestoreCounter("backend_servers"), Log: g.log,
	}
}
