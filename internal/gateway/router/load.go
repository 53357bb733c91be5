package router

import (
	"github.com/cespare/xxhash/v2"

	"github.com/applepier/applepier/internal/gateway/backend"
)

// load is one request's part of the counters of a server: pending until the
// answer begins, then running, then gone.
type load struct {
	server  *backend.Server
	tokens  int64
	running bool
}

func enter(server *backend.Server, tokens int) *load {
	server.Pending.Add(1)
	server.PendingTokens.Add(int64(tokens))
	return &load{server: server, tokens: int64(tokens)}
}

// begun notes that the answer has begun.
func (l *load) begun() {
	if l.running {
		return
	}
	l.running = true
	l.server.Pending.Add(-1)
	l.server.PendingTokens.Add(-l.tokens)
	l.server.Running.Add(1)
}

func (l *load) leave() {
	l.begun()
	l.server.Running.Add(-1)
}

// hashID spreads requests evenly over a route's services.
func hashID(id string) uint64 { return xxhash.Sum64String(id) }
