package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/applepier/applepier/internal/gateway/follow"
	"github.com/applepier/applepier/internal/gateway/peers"
	"github.com/applepier/applepier/internal/logging"
)

// tidyEvery is how often, on average, the list is looked through for gateways that are
// gone; one write for each that is.
const tidyEvery = time.Minute

// followEntries follows the list of gateways, until those are known that started at the
// same time. Whoever starts later has read it, and is heard of by its datagrams.
func (g *gateway) followEntries(ctx context.Context) {
	f := follow.Follower[peers.Entry]{
		Name: "gateways", Source: g.platform.Entries, Sink: g.mesh, Wait: follow.Always(entriesWait), Gather: entriesGather,
		Idle: g.entriesTold, Defers: g.defersToPollers, Store: &g.store, Asked: g.platform.Metrics.StoreAsked("gateways"), Restored: g.platform.Metrics.StoreRestored("gateways"), Log: g.log,
	}
	f.Run(ctx)
}

// stayListed enters this gateway in the list of gateways, again if somebody
// took it for gone, and removes those that are gone.
func (g *gateway) stayListed(ctx context.Context) {
	g.register(ctx)
	tidy := time.NewTimer(tidyPause())
	defer tidy.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.mesh.Unlisted:
			g.register(ctx)
		case <-tidy.C:
			g.tidy(ctx)
			tidy.Reset(tidyPause())
		}
	}
}

// tidyPause is drawn, so that gateways that started together don't all remove
// the same entries: the list tells the others of the first one's removal.
func tidyPause() time.Duration { return tidyEvery/2 + rand.N(tidyEvery) }

// register tries until it is done or ctx ends.
func (g *gateway) register(ctx context.Context) {
	g.untilDone(ctx, logging.EventRegisterFailed, func(ctx context.Context) error {
		err := g.platform.Register(ctx, g.mesh.Self)
		if err == nil {
			g.mesh.Registered()
		}
		return err
	})
}

// tidy removes the entries of gateways that are gone.
func (g *gateway) tidy(ctx context.Context) {
	for _, name := range g.mesh.Gone() {
		if err := g.platform.Unregister(ctx, name); err != nil {
			g.log.Warn(logging.EventRegisterFailed, logging.Peer(name), logging.Reason(err.Error()))
			return
		}
		g.log.Info(logging.EventGatewayGone, logging.Peer(name))
	}
}
