package router

import (
	"time"

	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/protocol"
)

// maySend reports whether a request may be sent to a server now, and counts it as sent if so. It is the
// only check at the moment of sending, and nothing overrides it: the server may have begun to leave or
// to rest since it was chosen.
func (r *Router) maySend(server *backend.Server) bool {
	if r.Registry.Leaving(time.Now(), server) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now, instance := time.Now(), server.Info().InstanceKey()
	if r.rests.Left(now, instance) > 0 {
		return false
	}
	r.rests.CountSent(now, instance)
	return true
}

// endRest records a response that asked for no rest, to a request sent at a given time.
func (r *Router) endRest(server *backend.Server, sent time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rests.ObserveResponse(sent, server.Info().InstanceKey())
}

// beginRest records that a server asked for rest.
func (r *Router) beginRest(server *backend.Server, rest time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rests.Begin(time.Now(), server.Info().InstanceKey(), rest)
}

// RestingServerCount returns the number of servers that have asked this gateway for rest.
func (r *Router) RestingServerCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rests.Resting(time.Now())
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
		r.beginRest(server, info.Rest)
		r.Observer.ServerRests(id, info.Rest)
	}
}
