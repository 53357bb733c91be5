package gateway

import (
	"context"
	"time"

	"github.com/applepier/applepier/internal/boottime"
	"github.com/applepier/applepier/internal/gateway/handover"
	"github.com/applepier/applepier/internal/gateway/peers"
	"github.com/applepier/applepier/internal/logging"
)

// maxServerListLag is for how long a gateway tries to have from others what they know and it
// doesn't, before it asks the store. Together with the second after which the last
// gateway that asked counts as gone it stays below the two seconds within which
// leaving servers get no more work.
const maxServerListLag = 400 * time.Millisecond

// gatewayListRefresh is for how long a gateway does without the list of gateways: one that was
// removed from it by mistake is listed again within that time.
const gatewayListRefresh = time.Minute

// pollStatus is what this gateway tells others of the store. One of the few that ask for
// all tells also at which position it has read the whole list, since what had changed
// shortly before may be known to no other gateway that runs. If every gateway did, each
// that starts would have all others ask the store.
func (g *gateway) pollStatus() peers.Following {
	status := peers.Following{
		Able: !g.storeHealth.Away(), Asks: g.servers.Live(), Servers: g.servers.Changed(), Quarantine: g.quarantineLoaded.Load(),
	}
	if g.isPoller() {
		status.Servers = g.servers.Known()
	}
	return status
}

// pollersAvailable reports whether a few other gateways ask the store, and tell this one. Where
// none of them does each asks for itself, and so does who hears of less than half of
// the gateways: it may be cut off, with those that it hears, from the store as well, and
// has to know soon to send callers elsewhere.
func (g *gateway) pollersAvailable() bool {
	return !g.isPoller() && g.mesh.Followed() && 2*g.mesh.Gateways() > g.mesh.Listed()
}

// serversFromPeers reports whether the list of backend servers needn't be asked for here.
func (g *gateway) serversFromPeers() bool {
	return g.pollersAvailable() && !g.serversBehind.heldLongerThan(maxServerListLag)
}

// desiredStateFromPeers is the same for the desired state, as long as its proof is new enough.
func (g *gateway) desiredStateFromPeers() bool {
	return g.pollersAvailable() && g.holder.Version() != 0 && !g.proofNeedsRenewal() && !g.stateBehind.heldLongerThan(maxServerListLag)
}

// gatewayListFromPeers reports whether the list of gateways needn't be asked for here: who started
// together with this gateway may not have been listed when it read the list first, and
// who is removed is told by the list alone.
func (g *gateway) gatewayListFromPeers() bool {
	reads, age := g.mesh.Listings()
	return g.pollersAvailable() && reads > 1 && age < gatewayListRefresh
}

// syncServersFromPeers has from other gateways what changes in the list of backend servers.
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
		}
	}
}

// fetchServerChanges asks one gateway that knows more, if there is one.
func (g *gateway) fetchServerChanges(ctx context.Context, client *handover.Client) {
	position := g.servers.Position()
	addr := g.mesh.Ahead(position)
	if position == 0 || addr == "" {
		g.serversBehind.set(false)
		return
	}
	g.serversBehind.set(true)
	changes, err := client.Changes(ctx, addr, position)
	if err == nil {
		err = g.servers.Take(boottime.Now(), changes)
	}
	switch {
	case err == nil:
		g.serversBehind.set(false)
	case ctx.Err() == nil:
		g.log.Debug(logging.EventHandoverFailed, logging.Peer(addr), logging.Reason(err.Error()))
	}
}
