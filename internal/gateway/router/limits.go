package router

import (
	"time"

	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/protocol"
	"github.com/applepier/applepier/policy"
)

// learnLimit takes from a server's answer how many requests it takes. An answer of another
// server at its address tells nothing of it.
func (c *call) learnLimit(server *backend.Server, sent time.Time, reply protocol.Reply) {
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
	key := policy.KeyOf(server.Info().Start())
	if limit.Named {
		return r.limits.Named(time.Now(), key, limit.Rate)
	}
	return r.limits.Unnamed(sent, key)
}

// countLimited counts a request that is sent to a server with a limit.
func (r *Router) countLimited(server *backend.Server) {
	r.mu.Lock()
	_, limited := r.limits.Limit(policy.KeyOf(server.Info().Start()))
	r.mu.Unlock()
	if limited {
		r.Observer.SentLimited()
	}
}

// Limited counts the servers that have named a limit.
func (r *Router) Limited() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limits.Limited()
}
