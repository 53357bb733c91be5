package router

import (
	"context"
	"time"

	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/policy"
)

// copyOfRun is a copy of what a run has in memory, at another server.
type copyOfRun struct {
	// at keeps the copy; nil for none.
	at *backend.Server
	// of is the server that runs, or ran, the request.
	of *backend.Server
	// used says that the run goes on from the copy.
	used bool
}

// addresses are where the copy is to be kept, or where the run is to go on
// from; one of them is empty.
func (k *copyOfRun) addresses() (to, from string) {
	if k.used {
		return "", k.at.Info().Addr
	}
	return k.at.Info().Addr, ""
}

// keepCopy chooses where a copy is to be kept of a run at a server, where that
// may save a stream that can't be sent again.
func (c *call) keepCopy(server *backend.Server) copyOfRun {
	if c.ask.PromptTokens == 0 || c.route.Idempotent() || !c.router.copiesWanted() {
		return copyOfRun{}
	}
	servers := c.router.Registry.Servers(c.service)
	at := c.router.copyPlace(server.Info().ID, c.router.loads(servers, c.conns()))
	if at < 0 {
		return copyOfRun{}
	}
	return copyOfRun{at: servers[at], of: server}
}

// goOnFromCopy continues a stream that broke off where the copy of its run is:
// the platform counts it as the same run. It reports whether the request has had
// its final answer.
func (c *call) goOnFromCopy(ctx context.Context) bool {
	if !c.stream.begun || ctx.Err() != nil {
		return false
	}
	c.router.streamBroke()
	// A server that is still there might still run the request, or count as a
	// second one that did.
	if c.copy.at == nil || !c.router.Pool.Ended(ctx, c.copy.of.Peer()) || !c.router.allowRepeat(c.service) {
		return false
	}
	c.copy.used = true
	c.server = c.copy.at.Info().ID
	stay := &visit{Stay: c.copy.at.Load.Enter(c.urgency, policy.ReadingPlan{}), call: c, sent: time.Now(), goesOn: true}
	defer stay.Leave()
	return c.exchange(ctx, c.copy.at, stay) == done
}
