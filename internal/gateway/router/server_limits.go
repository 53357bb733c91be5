package router

import (
	"time"

	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/protocol"
	"github.com/applepier/applepier/policy"
)

// learnLimit takes from a server's answer how many requests it takes. An answer of another
// server at its address tells nothing of it.
func (c *call) updateServerLimit(server *backend.Server, sent time.Time, reply protocol.Reply) {
	switch {
	case reply.OtherServer:
	case reply.Limit.Unreadable, c.router.setLimit(server, sent, reply.Limit):
		c.router.Observer.ServerLimited(server.Info().ID, reply.Limit)
	}
}

// setLimit reports whether a server's limit is another one than before.
func (r *Router) setLimit(server *backend.Server, sent time.Time, limit protocol.Limit) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if limit.Named {
		return r.limits.Named(time.Now(), server.Info().InstanceKey(), limit.Rate)
	}
	return r.limits.Unnamed(sent, server.Info().InstanceKey())
}

// allowances says what each server's limit still allows this gateway; r.mu is held.
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

// countLimited counts a request that is about to be sent to a server; r.mu is held. It is
// counted with the choice, so that no other request takes the same place.
func (r *Router) countLimitedSend(now time.Time, server *policy.Server) {
	if server.Limited {
		r.limits.Sent(now, server.Start)
		r.limitedSends.Add(1)
	}
}

// LimitedSends counts the requests that were sent to servers while they had a limit.
func (r *Router) LimitedSends() int64 { return r.limitedSends.Load() }

// Limited counts the servers that have named a limit.
func (r *Router) Limited() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limits.Limited()
}
