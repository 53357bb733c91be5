package router

import (
	"context"

	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/exchange"
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

// endedByCrash reports whether a response of which the end has been read may be incomplete: it ends
// with its connection, and its server has ended.
func (c *call) endedByCrash(response *exchange.Response, server *backend.Server) bool {
	return response.EndsWithConnection && c.serverHasEnded(server)
}
