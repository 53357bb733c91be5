package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/boottime"
	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/follow"
	"github.com/applepier/applepier/internal/gateway/handover"
	"github.com/applepier/applepier/internal/logging"
)

// peerCheckInterval is how often a gateway checks whether others have newer data.
const peerCheckInterval = 100 * time.Millisecond

// syncStateFromPeers gets the desired state and the list of backend servers from another gateway
// while the store doesn't deliver them or isn't polled. So a starting gateway can serve at once,
// and a gateway that the store rejects still gets changes. Data from another gateway doesn't
// confirm that it is the newest.
func (g *gateway) syncStateFromPeers(ctx context.Context) {
	client := handover.NewClient()
	ticker := time.NewTicker(peerCheckInterval)
	defer ticker.Stop()
	var fallback peerFallback
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			addr, version := g.mesh.PeerWithNewestState()
			behind := version > g.holder.Version()
			if g.stateBehind.set(behind); behind && g.desiredStateFromPeers() {
				g.fetchFromPeer(ctx, addr, client.DesiredState)
				continue
			}
			// Data that is already arriving from the store isn't fetched from another gateway too.
			// Over the same link a large state takes seconds, during which caller requests queue
			// behind it.
			missing := behind && !g.receivingState.Load() || !g.registry.Loaded()
			if fallback.due(now, addr != "" && missing) {
				g.fetchFromPeer(ctx, addr, client.Get)
			}
		}
	}
}

// fetchFromPeer fetches the state of one gateway and applies it. It logs errors. If the desired state
// is too large to transfer, it makes this gateway poll the store instead.
func (g *gateway) fetchFromPeer(ctx context.Context, addr string, fetch func(context.Context, string) (handover.State, error)) {
	g.fetchServerList(ctx, addr)
	state, err := fetch(ctx, addr)
	if err == nil {
		err = g.applyPeerState(addr, state)
	}
	switch {
	case err == nil, ctx.Err() != nil:
	case errors.Is(err, handover.ErrTooLarge):
		// desiredStateFromPeers is false until the state has arrived, so the follower polls the store.
		g.stateBehind.setExpired()
	default:
		g.log.Warn(logging.EventHandoverFailed, logging.Peer(addr), logging.Reason(err.Error()))
	}
}

// fetchServerList fetches the list of backend servers from another gateway if none is known yet. Its
// position allows changes to be applied before this gateway has read the list from the store, which may
// reject it. It logs errors.
func (g *gateway) fetchServerList(ctx context.Context, addr string) {
	if g.registry.Loaded() {
		return
	}
	list, err := handover.NewClient().Changes(ctx, addr, 0)
	if err == nil {
		err = g.servers.ApplyDeltas(boottime.Now(), list)
	}
	if err != nil && ctx.Err() == nil {
		g.log.Info(logging.EventHandoverFailed, logging.Peer(addr), logging.Reason(err.Error()))
	}
}

// serverChangesSince returns the changes of the list of backend servers after a position; after position
// 0, the complete list. It returns false if not all of them are known.
func (g *gateway) serverChangesSince(after follow.Position) ([]follow.Delta[backend.Info], bool) {
	if after != 0 {
		return g.servers.DeltasSince(after)
	}
	list, known := g.servers.Table(g.registry.Entries)
	return []follow.Delta[backend.Info]{list}, known
}

// applyPeerState applies the state received from another gateway: the desired state if it is newer,
// and the list of backend servers if none is known yet. A list from the store is never replaced: it
// is newer, or is read again as soon as the store responds. It returns the decoder's error if the
// document can't be decoded.
func (g *gateway) applyPeerState(addr string, state handover.State) error {
	if state.Version > g.holder.Version() {
		snapshot, err := g.platform.Decode(state.Document)
		if err != nil {
			return err
		}
		// The handover confirms nothing; the other gateway's confirmation arrives by datagram.
		if g.holder.Update(snapshot, 0) {
			g.log.Info(logging.EventTargetsAdopted, zap.Uint64("version", snapshot.Version), zap.Int("routes", snapshot.RouteCount()), logging.Peer(addr))
		}
	}
	if len(state.Servers) > 0 && g.registry.SeedFromPeer(state.Servers) {
		g.log.Info(logging.EventServersListed, zap.Int("servers", len(state.Servers)), zap.Int("usable", g.registry.CountUsable()), logging.Peer(addr))
	}
	return nil
}

// handoverState returns the state that this gateway hands over to others.
func (g *gateway) handoverState() handover.State {
	var state handover.State
	if snapshot := g.holder.Current(); snapshot != nil {
		state.Version, state.Document = snapshot.Version, snapshot.Document
	}
	if g.registry.Loaded() {
		for _, s := range g.registry.All() {
			state.Servers = append(state.Servers, *s.Info())
		}
	}
	return state
}
