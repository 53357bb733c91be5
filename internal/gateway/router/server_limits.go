package router

import (
	"time"

	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/protocol"
	"github.com/applepier/applepier/policy"
)

// updateServerLimit takes over the rate limit that a response names. A response from another
// instance at the address says nothing about the server.
func (c *call) updateServerLimit(server *backend.Server, sent time.Time, reply protocol.Reply) {
	switch {
	case reply.OtherServer:
	case reply.Limit.Unreadable, c.router.setLimit(server, sent, reply.Limit):
		c.router.Observer.ServerLimited(server.Info().ID, reply.Limit)
	}
}

// setLimit records a server's rate limit, or that a response to a request of the time sent named
// none. It reports whether the limit has changed.
func (r *Router) setLimit(server *backend.Server, sent time.Time, limit protocol.Limit) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if limit.Named {
		return r.limits.Named(time.Now(), server.Info().InstanceKey(), limit.Rate)
	}
	return r.limits.Unnamed(sent, server.Info().InstanceKey())
}

// setAllowances sets in loads how much of each server's rate limit is left to this gateway. r.mu
// must be held.
func (r *Router) setAllowances(now time.Time, loads []policy.Server) {
	if r.limits.Empty() {
		return
	}
	listed := max(r.Gateways(), r.Others.Gateways())
	liveShare := float64(r.Others.Gateways()) / float64(listed)
	for i := range loads {
		s := &loads[i]
		s.Allowance, s.Limited = r.limits.Allowance(now, s.Start, r.Others.LimitedSends(s.Start), liveShare)
	}
}

// countLimitedSend counts a request that is about to be sent to a server with a rate limit. It is
// called under the same lock as the choice, so that no other request uses the same allowance. r.mu
// must be held.
func (r *Router) countLimitedSend(now time.Time, server *policy.Server) {
	if server.Limited {
		r.limits.Sent(now, server.Start)
		r.limitedSends.Add(1)
	}
}

// LimitedSendCount returns the number of requests sent to servers with a rate limit.
func (r *Router) LimitedSends() int64 { return r.limitedSends.Load() }

// LimitedServerCount returns the number of servers with a rate limit.
func (r *Router) Limited() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limits.Limited()
}
