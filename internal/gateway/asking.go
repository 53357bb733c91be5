package gateway

import (
	"context"
	"time"

	"github.com/applepier/applepier/internal/boottime"
	"github.com/applepier/applepier/internal/gateway/handover"
	"github.com/applepier/applepier/internal/gateway/peers"
	"github.com/applepier/applepier/internal/logging"
)

// lackingMost is for how long a gateway tries to have from others what they know and it
// doesn't, before it asks the store. Together with the second after which the last
// gateway that asked counts as gone it stays below the two seconds within which
// leaving servers get no more work.
const lackingMost = 400 * time.Millisecond

// entriesRest is for how long a gateway does without the list of gateways: one that was
// removed from it by mistake is listed again within that time.
const entriesRest = time.Minute

// following is what this gateway tells others of the store. One of the few that ask for
// all tells also at which position it has read the whole list, since what had changed
// shortly before may be known to no other gateway that runs. If every gateway did, each
// that starts would have all others ask the store.
func (g *gateway) following() peers.Following {
	f := peers.Following{
		Able: !g.store.Away(), Asks: g.servers.Live(), Servers: g.servers.Changed(), Quarantine: g.quarantineKnown.Load(),
	}
	if g.proves() {
		f.Servers = g.servers.Known()
	}
	return f
}

// told reports whether a few other gateways ask the store, and tell this one. Where
// none of them does each asks for itself, and so does who hears of less than half of
// the gateways: it may be cut off, with those that it hears, from the store as well, and
// has to know soon to send callers elsewhere.
func (g *gateway) told() bool {
	return !g.proves() && g.mesh.Followed() && 2*g.mesh.Gateways() > g.mesh.Listed()
}

// serversTold reports whether the list of backend servers needn't be asked for here.
func (g *gateway) serversTold() bool { return g.told() && !g.lacking.longer(lackingMost) }

// targetsTold is the same for the desired state, as long as its proof is new enough.
func (g *gateway) targetsTold() bool {
	return g.told() && g.holder.Version() != 0 && !g.proofOld() && !g.newer.longer(lackingMost)
}

// entriesTold reports whether the list of gateways needn't be asked for here: who started
// together with this gateway may not have been listed when it read the list first, and
// who is removed is told by the list alone.
func (g *gateway) entriesTold() bool {
	listings, age := g.mesh.Listings()
	return g.told() && listings > 1 && age < entriesRest
}

// learnServers has from other gateways what changes in the list of backend servers.
func (g *gateway) learnServers(ctx context.Context) {
	client := handover.NewClient()
	ticker := time.NewTicker(learnEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.takeChanges(ctx, client)
		}
	}
}

// takeChanges asks one gateway that knows more, if there is one.
func (g *gateway) takeChanges(ctx context.Context, client *handover.Client) {
	at := g.servers.Position()
	addr := g.mesh.Ahead(at)
	if at == 0 || addr == "" {
		g.lacking.note(false)
		return
	}
	g.lacking.note(true)
	steps, err := client.Changes(ctx, addr, at)
	if err == nil {
		err = g.servers.Take(boottime.Now(), steps)
	}
	switch {
	case err == nil:
		g.lacking.note(false)
	case ctx.Err() == nil:
		g.log.Debug(logging.EventHandoverFailed, logging.Peer(addr), logging.Reason(err.Error()))
	}
}
