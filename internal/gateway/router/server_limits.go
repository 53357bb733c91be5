package router

import (
	"time"

	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/protocol"
	"github.com/applepier/applepier/policy"
)

// updateServerLimit records the rate limit that a response states, and notifies the Observer of
// changes and of invalid limits. An invalid limit leaves the known one unchanged, and so does a
// response from another instance at the address.
func (c *call) updateServerLimit(server *backend.Server, sent time.Time, info protocol.ResponseInfo) {
	switch {
	case info.OtherInstance:
	case info.Limit.Invalid, c.router.setLimit(server, sent, info.Limit):
		c.router.Observer.ServerLimitChanged(server.Info().ID, info.Limit)
	}
}

// setLimit records a server's rate limit or, if its response to a request sent at the given time
// stated none, that it has none. It reports whether the limit has changed.
func (r *Router) setLimit(server *backend.Server, sent time.Time, limit protocol.RateLimit) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if limit.Present {
		return r.limits.ObserveLimit(time.Now(), server.Info().InstanceKey(), limit.Rate)
	}
	return r.limits.ObserveNoLimit(sent, server.Info().InstanceKey())
}

// setAllowances sets in loads how many requests each server's rate limit still allows this gateway to
// send. r.mu must be held.
func (r *Router) setAllowances(now time.Time, loads []policy.Server) {
	if r.limits.Empty() {
		return
	}
	listed := max(r.ListedGateways(), r.Peers.LiveGateways())
	liveShare := float64(r.Peers.LiveGateways()) / float64(listed)
	for i := range loads {
		s := &loads[i]
		s.Allowance, s.RateLimited = r.limits.Allowance(now, s.Instance, r.Peers.LimitedSends(s.Instance), liveShare)
	}
}

// countLimitedSend counts a request that is about to be sent to a server with a rate limit. It is
// called under the same lock as the choice, so that no other request uses the same allowance. r.mu
// must be held.
func (r *Router) countLimitedSend(now time.Time, server *policy.Server) {
	if server.RateLimited {
		r.limits.CountSent(now, server.Instance)
		r.limitedSends.Add(1)
	}
}

// LimitedSendCount returns the number of requests sent to servers with a rate limit since the start.
func (r *Router) LimitedSendCount() int64 { return r.limitedSends.Load() }

// LimitedServerCount returns the number of servers with a rate limit.
func (r *Router) LimitedServerCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limits.LimitedServers()
}
