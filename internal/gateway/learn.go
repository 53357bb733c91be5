package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/gateway/handover"
	"github.com/applepier/applepier/internal/logging"
)

// learnEvery is how often a gateway looks whether others know more.
const learnEvery = 100 * time.Millisecond

// learnFromPeers has the desired state and the list of servers from another
// gateway while the store doesn't tell them, or isn't asked: a gateway that starts then
// serves at once, and one that the store turns away learns of changes. Whether what it
// learned is still the newest is proved as ever.
func (g *gateway) learnFromPeers(ctx context.Context) {
	client := handover.NewClient()
	ticker := time.NewTicker(learnEvery)
	defer ticker.Stop()
	var store lag
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			addr, version := g.mesh.Newest()
			// What is on its way from the store needn't come over the same link from
			// another gateway too: a large state takes seconds there, in which
			// callers' requests wait behind it.
			newer := version > g.holder.Version()
			if g.newer.note(newer); newer && g.targetsTold() {
				g.learn(ctx, addr, client.Targets)
				continue
			}
			lacking := newer && !g.arriving.Load() || !g.registry.Known()
			if store.due(now, addr != "" && lacking) {
				g.learn(ctx, addr, client.Get)
			}
		}
	}
}

// learn asks one gateway.
func (g *gateway) learn(ctx context.Context, addr string, get func(context.Context, string) (handover.State, error)) {
	state, err := get(ctx, addr)
	if err == nil {
		err = g.adopt(addr, state)
	}
	switch {
	case err == nil, ctx.Err() != nil:
	case errors.Is(err, handover.ErrTooLarge):
		g.newer.long()
	default:
		g.log.Warn(logging.EventHandoverFailed, logging.Peer(addr), logging.Reason(err.Error()))
	}
}

// adopt takes what another gateway handed over, as far as it is news. The list
// of servers is taken only where none is known: the store's own is newer, or is
// read again as soon as it answers.
func (g *gateway) adopt(addr string, state handover.State) error {
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

// state is what this gateway hands to others.
func (g *gateway) state() handover.State {
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
