package router

import (
	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/protocol"
)

// observeNotices processes what a response says about its server: that it leaves, or wants no requests
// for a time. A response from another instance at the address says nothing about this one.
func (r *Router) observeNotices(server *backend.Server, info protocol.ResponseInfo) {
	if info.OtherInstance {
		return
	}
	id := server.Info().ID
	if info.Leaving {
		r.Observer.ServerLeaving(id)
	}
	if info.Rest > 0 {
		r.Observer.ServerRests(id, info.Rest)
	}
}
