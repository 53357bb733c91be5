package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/gateway/handover"
	"github.com/applepier/applepier/internal/logging"
)

// peerCheckInterval is how often a gateway looks whether others know more.
const peerCheckInterval = 100 * time.Millisecond

// syncStateFromPeers has the desired state and the list of servers from another
// gateway while the store doesn't tell them, or isn't asked: a gateway that starts then
// serves at once, and one that the store turns away learns of changes. Whether what it
// learned is still the newest is proved as ever.
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
			addr, version := g.mesh.Newest()
			// What is on its way from the store needn't come over the same link from
			// another gateway too: a large state takes seconds there, in which
			// callers' requests wait behind it.
			behind := version > g.holder.Version()
			if g.stateBehind.set(behind); behind && g.desiredStateFromPeers() {
				g.fetchFromPeer(ctx, addr, client.Targets)
				continue
			}
			missing := behind && !g.receivingState.Load() || !g.registry.Known()
			if fallback.due(now, addr != "" && missing) {
				g.fetchFromPeer(ctx, addr, client.Get)
			}
		}
	}
}

// fetchFromPeer asks one gateway.
func (g *gateway) fetchFromPeer(ctx context.Context, addr string, fetch func(context.Context, string) (handover.State, error)) {
	state, err := fetch(ctx, addr)
	if err == nil {
		err = g.applyPeerState(addr, state)
	}
	switch {
	case err == nil, ctx.Err() != nil:
	case errors.Is(err, handover.ErrTooLarge):
		g.stateBehind.setExpired()
	default:
		g.log.Warn(logging.EventHandoverFailed, logging.Peer(addr), logging.Reason(err.Error()))
	}
}

// applyPeerState takes what another gateway handed over, as far as it is news. The list
// of servers is taken only where none is known: the store's own is newer, or is
// read again as soon as it answers.
func (g *gateway) applyPeerState(addr string, state handover.State) error {
	if state.Version > g.holder.Version() {
		set, err := g.platform.Decode(state.Document)
		if err != nil {
			return err
		}
		// Nothing is proved by it: the other gateway's proof comes by datagram.
		if g.holder.Offer(set, 0) {
			g.log.Info(logging.EventTargetsAdopted, zap.Uint64("version", set.Version), zap.Int("routes", set.Routes()), logging.Peer(addr))
		}
	}
	if len(state.Servers) > 0 && g.registry.Adopt(state.Servers) {
		g.log.Info(logging.EventServersListed, zap.Int("servers", len(state.Servers)), zap.Int("usable", g.registry.Usable()), logging.Peer(addr))
	}
	return nil
}

// handoverState is what this gateway hands to others.
func (g *gateway) handoverState() handover.State {
	var state handover.State
	if set := g.holder.Current(); set != nil {
		state.Version, state.Document = set.Version, set.Document
	}
	if g.registry.Known() {
		for _, s := range g.registry.All() {
			state.Servers = append(state.Servers, *s.Info())
		}
	}
	return state
}
