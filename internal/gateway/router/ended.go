package router

import (
	"context"

	"github.com/cespare/xxhash/v2"

	"github.com/applepier/applepier/internal/gateway/backend"
)

// hasEnded finds out whether a server that broke an answer off has ended: then its host
// refuses connections. What it had is lost with it, whereas an answer that a server
// breaks off which goes on tells of that answer alone.
func (c *call) hasEnded(server *backend.Server) bool {
	if server.HasEnded() {
		return true
	}
	// The caller may have left; others want to know all the same.
	if !c.router.Pool.Refuses(context.WithoutCancel(c.req.Context()), server.Peer()) {
		return false
	}
	if server.Ended() {
		c.router.Observer.ServerEnded(server.Info().ID)
	}
	return true
}

// fingerprint is the same for requests that ask for the same thing: one that comes again
// has another id and as much time as its caller then gives it.
func (c *call) fingerprint() uint64 {
	hash := xxhash.New()
	for _, part := range []string{c.req.Method, c.req.Host, c.req.RequestURI, c.customer} {
		// Writing to a hash doesn't fail. No part holds a zero byte.
		_, _ = hash.WriteString(part + "\x00")
	}
	_, _ = hash.Write(c.body)
	return hash.Sum64()
}
