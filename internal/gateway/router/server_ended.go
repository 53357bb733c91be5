package router

import (
	"context"

	"github.com/applepier/applepier/internal/gateway/backend"
)

// serverHasEnded reports whether a server that broke off a response has ended: its host then refuses
// connections to its address. If it has ended, all its requests are lost; if not, only this response
// is affected.
func (c *call) serverHasEnded(server *backend.Server) bool {
	if server.HasEnded() {
		return true
	}
	// Probe even if the caller has disconnected, because the result matters to other requests.
	if !c.router.Pool.RefusesConnections(context.WithoutCancel(c.req.Context()), server.Instance()) {
		return false
	}
	if server.MarkEnded() {
		c.router.Observer.ServerEnded(server.Info().ID)
	}
	return true
}
