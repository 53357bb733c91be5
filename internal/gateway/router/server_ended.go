package router

import (
	"context"

	"github.com/applepier/applepier/internal/gateway/backend"
)

// serverHasEnded reports whether a server that broke off a response has ended, which shows in its
// host refusing connections. If it has, all its requests are lost; if not, only this response is
// affected.
func (c *call) serverHasEnded(server *backend.Server) bool {
	if server.HasEnded() {
		return true
	}
	// Probe even if the caller has disconnected, because the result matters to other requests.
	if !c.router.Pool.RefusesConnections(context.WithoutCancel(c.req.Context()), server.Peer()) {
		return false
	}
	if server.MarkEnded() {
		c.router.Observer.ServerEnded(server.Info().ID)
	}
	return true
}
