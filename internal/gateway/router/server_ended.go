package router

import (
	"context"

	"github.com/applepier/applepier/internal/gateway/backend"
)

// hasEnded finds out whether a server that broke an answer off has ended: then its host
// refuses connections. What it had is lost with it, whereas an answer that a server
// breaks off which goes on tells of that answer alone.
func (c *call) serverHasEnded(server *backend.Server) bool {
	if server.HasEnded() {
		return true
	}
	// The caller may have left; others want to know all the same.
	if !c.router.Pool.Refuses(context.WithoutCancel(c.req.Context()), server.Peer()) {
		return false
	}
	if server.MarkEnded() {
		c.router.Observer.ServerEnded(server.Info().ID)
	}
	return true
}
