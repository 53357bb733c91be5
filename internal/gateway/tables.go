package gateway

import (
	"context"
	"time"

	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/follow"
	"github.com/applepier/applepier/internal/gateway/routes"
)

const (
	// desiredWait is how long the store may hold back an answer about the
	// desired state, where operators set no bound for keys that are taken away.
	// Where they do, it is proofPart of what the bound leaves beside the second
	// for which a feed may be silent: each answer proves that the state in
	// force was the newest a second ago. The rest is for a call that fails, and
	// for the way of proofs between gateways.
	desiredWait = 2500 * time.Millisecond
	proofPart   = 0.6
	// leastWait bounds the calls where the bound leaves hardly any time.
	leastWait = 200 * time.Millisecond
	// serversWait is the same for the list of backend servers, which proves
	// nothing: keep-alive probes notice within three seconds that a connection
	// to the store went silent. Each call is paid for.
	serversWait = 5 * time.Second
	// serversGather is the pause after news of backend servers: short against
	// the two seconds within which leaving ones get no more work, long enough
	// that a start of all servers takes a dozen calls and not one for each.
	serversGather = 250 * time.Millisecond
	// entriesWait is the same for the list of gateways, on which nothing
	// hangs: who isn't in it yet is heard of.
	entriesWait = 15 * time.Second
	// entriesGather is the same for gateways: each hears of all others within
	// two seconds of a start of all.
	entriesGather = 2 * time.Second
)

// followDesired follows the desired state.
func (g *gateway) followDesired(ctx context.Context) {
	f := follow.Follower[*routes.Set]{
		Name: "desired state", Source: g.platform.Desired, Sink: g.desired,
		Wait: g.proofWait, Confirm: true, Log: g.log,
	}
	f.Run(ctx)
}

// proofWait is how long the store may hold back an answer about the desired
// state under the settings in force.
func (g *gateway) proofWait() time.Duration { return provedWithin(g.router.Bounds().Proof) }

// provedWithin is how long the store may hold back an answer about the desired
// state, by how old its proof may be; 0 for no bound.
func provedWithin(bound time.Duration) time.Duration {
	if bound == 0 {
		return desiredWait
	}
	return min(desiredWait, max(time.Duration(proofPart*float64(bound-feedSilence)), leastWait))
}

// followServers follows the list of backend servers.
func (g *gateway) followServers(ctx context.Context) {
	f := follow.Follower[backend.Info]{
		Name: "backend servers", Source: g.platform.Servers, Sink: servers{g.registry, g.log},
		Wait: follow.Always(serversWait), Gather: serversGather, Log: g.log,
	}
	f.Run(ctx)
}
