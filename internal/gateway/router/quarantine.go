package router

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
	"time"

	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/policy"
)

// quarantineRetryAfter is when to come back with a request that crashes servers: it isn't let in
// before it has stayed away for long.
const quarantineRetryAfter = time.Minute

// fingerprint is the same for requests that ask for the same thing: one that comes again
// has another id and as much time as its caller then gives it. The hash is one for which
// nobody can make a request with the fingerprint of somebody else's.
func (c *call) fingerprint() policy.Fingerprint {
	if !c.printed {
		hash := sha256.New()
		for _, part := range []string{c.req.Method, c.req.Host, c.req.RequestURI, c.customer} {
			// Writing to a hash doesn't fail. No part holds a zero byte.
			_, _ = io.WriteString(hash, part+"\x00")
		}
		_, _ = hash.Write(c.body)
		c.print, c.printed = policy.Fingerprint(binary.BigEndian.Uint64(hash.Sum(nil))), true
	}
	return c.print
}

// quarantined answers a request that is quarantined; false if it isn't.
func (c *call) quarantined() bool {
	if !c.router.suspects() || !c.router.holds(c.fingerprint()) {
		return false
	}
	if c.sends > 0 {
		c.giveUp()
	} else {
		c.refuse(ReasonQuarantined, quarantineRetryAfter)
	}
	return true
}

// judge takes from an attempt's end whether the request crashed the server.
func (c *call) judge(server *backend.Server) {
	switch {
	case c.serverEnded:
		c.router.crashed(c.fingerprint(), server.Info().Start())
	case c.served:
		c.router.answered(c.fingerprint())
	}
}

// suspects reports whether any request is suspected, so that fingerprints are needed.
func (r *Router) suspects() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.quarantine.Empty()
}

// avoided names the servers that the request stays away from, so that its next crash
// distinguishes it from other suspects.
func (c *call) avoided(servers []policy.Server) []string {
	if !c.router.suspects() {
		return nil
	}
	fingerprint := c.fingerprint()
	c.router.mu.Lock()
	defer c.router.mu.Unlock()
	return c.router.quarantine.Avoided(fingerprint, servers)
}

// watchRun notes that the request runs at a server until the function that is returned is called,
// while there are suspects.
func (c *call) watchRun(server string) (ended func()) {
	if !c.router.suspects() {
		return func() {}
	}
	r, fingerprint := c.router, c.fingerprint()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.quarantine.Began(fingerprint, server)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.quarantine.Ended(fingerprint, server)
	}
}

func (r *Router) holds(f policy.Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.quarantine.Quarantined(time.Now(), f)
}

// Quarantined counts the requests that are quarantined.
func (r *Router) Quarantined() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.quarantine.Len()
}

// Suspect takes what is known of requests from elsewhere.
func (r *Router) Suspect(known []policy.Suspicion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.quarantine.Merge(time.Now(), known)
}

func (r *Router) answered(f policy.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.quarantine.Answered(time.Now(), f)
}

func (r *Router) crashed(f policy.Fingerprint, start policy.Key) {
	if held, why := r.noteCrash(f, start); held {
		r.Observer.Quarantined(why)
	}
}

// noteCrash reports whether a request is quarantined from now on, and why.
func (r *Router) noteCrash(f policy.Fingerprint, start policy.Key) (bool, policy.Suspicion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := r.quarantine.Crashed(time.Now(), f, start)
	return held, r.quarantine.Suspicion(f)
}
