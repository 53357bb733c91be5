package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/applepier/applepier/internal/gateway/follow"
	"github.com/applepier/applepier/internal/gateway/peers"
	"github.com/applepier/applepier/internal/logging"
)

// staleCheckInterval is how often, on average, the list is looked through for gateways that are
// gone; one write for each that is.
const staleCheckInterval = time.Minute

// followGatewayList follows the list of gateways, until those are known that started at the
// same time. Whoever starts later has read it, and is heard of by its datagrams.
func (g *gateway) followGatewayList(ctx context.Context) {
	follower := follow.Follower[peers.Entry]{
		Name: "gateways", Source: g.platform.Entries, Sink: g.mesh, Wait: follow.Always(gatewayListMaxWait), Gather: gatewayListBatchDelay,
		Idle: g.gatewayListFromPeers, Defers: g.defersToPollers, Store: &g.storeHealth, Asked: g.platform.Metrics.StoreAsked("gateways"), Restored: g.platform.Metrics.StoreRestored("gateways"), Log: g.log,
	}
	follower.Run(ctx)
}

// maintainRegistration enters this gateway in the list of gateways, again if somebody
// took it for gone, and removes those that are gone.
func (g *gateway) maintainRegistration(ctx context.Context) {
	g.register(ctx)
	timer := time.NewTimer(staleCheckDelay())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.mesh.Unlisted:
			g.register(ctx)
		case <-timer.C:
			g.removeStaleGateways(ctx)
			timer.Reset(staleCheckDelay())
		}
	}
}

// staleCheckDelay is drawn, so that gateways that started together don't all remove
// the same entries: the list tells the others of the first one's removal.
func staleCheckDelay() time.Duration { return staleCheckInterval/2 + rand.N(staleCheckInterval) }

// register tries until it is done or ctx ends.
func (g *gateway) register(ctx context.Context) {
	g.retryUntilDone(ctx, logging.EventRegisterFailed, func(ctx context.Context) error {
		err := g.platform.Register(ctx, g.mesh.Self)
		if err == nil {
			g.mesh.Registered()
		}
		return err
	})
}

// removeStaleGateways removes the entries of gateways that are gone.
func (g *gateway) removeStaleGateways(ctx context.Context) {
	for _, name := range g.mesh.Gone() {
		if err := g.platform.Unregister(ctx, name); err != nil {
			g.log.Warn(logging.EventRegisterFailed, logging.Peer(name), logging.Reason(err.Error()))
			return
		}
		g.log.Info(logging.EventGatewayGone, logging.Peer(name))
	}
}
