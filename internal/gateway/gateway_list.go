package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/applepier/applepier/internal/gateway/follow"
	"github.com/applepier/applepier/internal/gateway/peers"
	"github.com/applepier/applepier/internal/logging"
)

// staleCheckInterval is the mean interval between checks of the list for gateways that are gone.
// Each removal is one write to the store.
const staleCheckInterval = time.Minute

// followGatewayList follows the list of gateways until ctx ends. Once all gateways that started at
// the same time are known, it mostly idles (see gatewayListFresh): gateways that start later read
// the list and then become known by their datagrams.
func (g *gateway) followGatewayList(ctx context.Context) {
	follower := follow.Follower[peers.Entry]{
		Name: "gateways", Source: g.platform.Gateways, Sink: g.mesh, MaxWait: follow.FixedWait(gatewayListMaxWait), CoalesceDelay: gatewayListCoalesceDelay,
		Idle: g.gatewayListFresh, DefersFullRead: g.defersToPollers, StoreHealth: &g.storeHealth, OnCall: g.platform.Metrics.StoreCallCounter("gateways"), OnRestore: g.platform.Metrics.StoreRestoreCounter("gateways"), Log: g.log,
	}
	follower.Run(ctx)
}

// maintainRegistration registers this gateway in the list of gateways, registers it again if
// another gateway removed it by mistake, and removes gateways that are gone.
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

// staleCheckDelay returns a random delay, so that gateways that started together don't all remove
// the same entries: the others learn of the first removal from the list.
func staleCheckDelay() time.Duration { return staleCheckInterval/2 + rand.N(staleCheckInterval) }

// register adds this gateway to the list, and retries until that succeeds or ctx ends.
func (g *gateway) register(ctx context.Context) {
	g.retryUntilDone(ctx, logging.EventRegisterFailed, func(ctx context.Context) error {
		err := g.platform.Register(ctx, g.mesh.Self)
		if err == nil {
			g.mesh.MarkRegistered()
		}
		return err
	})
}

// removeStaleGateways removes the entries of gateways that are gone. It stops at the first error,
// which it logs.
func (g *gateway) removeStaleGateways(ctx context.Context) {
	for _, name := range g.mesh.SilentPeers() {
		if err := g.platform.Unregister(ctx, name); err != nil {
			g.log.Warn(logging.EventRegisterFailed, logging.Peer(name), logging.Reason(err.Error()))
			return
		}
		g.log.Info(logging.EventGatewayRemoved, logging.Peer(name))
	}
}
