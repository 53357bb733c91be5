package gateway

import (
	"context"
	"time"

	"github.com/applepier/applepier/internal/boottime"
	"github.com/applepier/applepier/internal/gateway/handover"
	"github.com/applepier/applepier/internal/gateway/peers"
	"github.com/applepier/applepier/internal/logging"
)

// maxPeerLag is how long a gateway tries to get newer data, such as changes of the list of backend
// servers, from other gateways before it polls the store. Together with the second after which a
// silent poller counts as gone, it stays below the two seconds after which draining servers must get
// no more work.
const maxPeerLag = 400 * time.Millisecond

// gatewayListRefresh is the longest time between reads of the list of gateways. A gateway removed from
// the list by mistake is listed again within this time.
const gatewayListRefresh = time.Minute

// storeStatus returns what this gateway tells other gateways about the store. Pollers also report
// the position up to which they have read the complete list of backend servers, since no other
// running gateway may know of changes made shortly before. If every gateway reported it, each start
// of a gateway would make all others poll the store.
func (g *gateway) storeStatus() peers.StoreStatus {
	// The time must be read before the position: the list may be confirmed again in between, with a
	// later change.
	confirmedAt := g.servers.ConfirmedAt()
	status := peers.StoreStatus{
		Reachable: !g.storeHealth.Unavailable(), Polling: g.servers.Live(), ServersPosition: g.servers.LastChange(), QuarantineKnown: g.quarantineLoaded.Load(),
	}
	if g.isPoller() {
		status.ServersPosition = g.servers.LastKnown()
	}
	if status.Polling {
		status.ServersConfirmedAt = confirmedAt
	}
	return status
}

// pollersAvailable reports whether this gateway isn't a poller, and others poll the store and pass
// on its changes. If none does, every gateway polls for itself. So does a gateway if half or fewer
// of the listed gateways are live to it: it may be cut off from the store together with them, and
// has to detect that soon to send callers to other gateways.
func (g *gateway) pollersAvailable() bool {
	return !g.isPoller() && g.mesh.PeerPollsStore() && 2*g.mesh.LiveGateways() > g.mesh.ListedGateways()
}

// serversFromPeers reports whether changes of the list of backend servers come from other gateways,
// so that this one needn't poll the store for them.
func (g *gateway) serversFromPeers() bool {
	return g.pollersAvailable() && !g.serversBehind.heldLongerThan(maxPeerLag)
}

// desiredStateFromPeers reports whether the desired state comes from other gateways, so that this
// one needn't poll the store for it. It is false before the first state and once the confirmation
// needs renewal.
func (g *gateway) desiredStateFromPeers() bool {
	return g.pollersAvailable() && g.holder.Version() != 0 && !g.confirmationNeedsRenewal() && !g.stateBehind.heldLongerThan(maxPeerLag)
}

// gatewayListFresh reports whether the list of gateways needn't be read again now. It must be read at
// least twice, since gateways that started at the same time may have been missing from the first
// read, and then periodically, since only the list tells of removals.
func (g *gateway) gatewayListFresh() bool {
	reads, age := g.mesh.ListUpdates()
	return g.pollersAvailable() && reads > 1 && age < gatewayListRefresh
}

// syncServersFromPeers gets changes of the list of backend servers from other gateways until ctx
// ends.
func (g *gateway) syncServersFromPeers(ctx context.Context) {
	client := handover.NewClient()
	ticker := time.NewTicker(peerCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.fetchServerChanges(ctx, client)
			g.logServerListAge()
		}
	}
}

// fetchServerChanges gets the changes of the list of backend servers from a gateway that has newer
// ones, if there is one.
func (g *gateway) fetchServerChanges(ctx context.Context, client *handover.Client) {
	position := g.servers.Position()
	addr := g.mesh.PeerWithNewerServers(position)
	if position == 0 || addr == "" {
		g.serversBehind.set(false)
		return
	}
	g.serversBehind.set(true)
	changes, err := client.ChangesOrList(ctx, addr, position)
	if err == nil {
		err = g.servers.ApplyDeltas(boottime.Now(), changes)
	}
	switch {
	case err == nil:
		g.serversBehind.set(false)
	case ctx.Err() == nil:
		g.log.Debug(logging.EventHandoverFailed, logging.Peer(addr), logging.Reason(err.Error()))
	}
}
