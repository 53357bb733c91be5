package router

import (
	"time"

	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/protocol"
)

// maySend reports whether a request may be sent to a server now. It is the only check at the moment of
// sending, and nothing overrides it: the server may have begun to leave since it was chosen.
func (r *Router) maySend(server *backend.Server) bool {
	return !r.Registry.Leaving(time.Now(), server)
}

// observeNotices processes what a response says about its server: that it leaves, or wants no requests
// for a time. A response from another instance at the address says nothing about this one.
func (r *Router) observeNotices(server *backend.Server, info protocol.ResponseInfo) {
	if info.OtherInstance {
		return
	}
	id := server.Info().ID
	if info.Leaving && r.Registry.MarkLeaving(time.Now(), server) {
		r.Observer.ServerLeaving(id)
	}
	if info.Rest > 0 {
		r.Observer.ServerRests(id, info.Rest)
	}
}
