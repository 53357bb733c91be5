package router

import (
	"time"

	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/protocol"
)

// claimSend reports whether a request may be sent to a server now, and counts it as sent if so. It is the
// only check at the moment of sending, and nothing overrides it: the server may have begun to drain, or
// asked for a backoff, since it was chosen.
func (r *Router) claimSend(server *backend.Server) bool {
	if r.Registry.Draining(time.Now(), server) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now, instance := time.Now(), server.Info().InstanceKey()
	if r.backoffs.Left(now, instance) > 0 {
		return false
	}
	r.backoffs.CountSent(now, instance)
	return true
}

// endBackoff records a response without a backoff to a request sent at a given time.
func (r *Router) endBackoff(server *backend.Server, sent time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.backoffs.ObserveResponse(sent, server.Info().InstanceKey())
}

// beginBackoff records that a server wants no requests for a time.
func (r *Router) beginBackoff(server *backend.Server, backoff time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.backoffs.Begin(time.Now(), server.Info().InstanceKey(), backoff)
}

// BackedOffServerCount returns the number of servers to which this gateway sends no requests for a time.
func (r *Router) BackedOffServerCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.backoffs.Active(time.Now())
}

// observeNotices processes what a response says about its server: that it drains, or wants no requests
// for a time. A response from another instance at the address says nothing about this one.
func (r *Router) observeNotices(server *backend.Server, info protocol.ResponseInfo) {
	if info.OtherInstance {
		return
	}
	id := server.Info().ID
	if info.Draining && r.Registry.MarkDraining(time.Now(), server) {
		r.Observer.ServerDraining(id)
	}
	if info.Backoff > 0 {
		r.beginBackoff(server, info.Backoff)
		r.Observer.ServerBackoff(id, info.Backoff)
	}
}
