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
	if !c.fingerprintCached {
		hash := sha256.New()
		for _, part := range []string{c.req.Method, c.req.Host, c.req.RequestURI, c.customer} {
			// Writing to a hash doesn't fail. No part holds a zero byte.
			_, _ = io.WriteString(hash, part+"\x00")
		}
		_, _ = hash.Write(c.body)
		c.cachedFingerprint, c.fingerprintCached = policy.Fingerprint(binary.BigEndian.Uint64(hash.Sum(nil))), true
	}
	return c.cachedFingerprint
}

// quarantined answers a request that is quarantined; false if it isn't.
func (c *call) refuseIfQuarantined() bool {
	if !c.router.hasSuspects() || !c.router.isQuarantined(c.fingerprint()) {
		return false
	}
	if c.sends > 0 {
		c.respondFinalFailure()
	} else {
		c.refuse(ReasonQuarantined, quarantineRetryAfter)
	}
	return true
}

// judge takes from an attempt's end whether the request crashed the server.
func (c *call) recordCrashEvidence(server *backend.Server) {
	switch {
	case c.serverEnded:
		c.router.recordCrash(c.fingerprint(), server.Info().InstanceKey())
	case c.served:
		c.router.recordServed(c.fingerprint())
	}
}

// suspects reports whether any request is suspected, so that fingerprints are needed.
func (r *Router) hasSuspects() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.quarantine.Empty()
}

// avoided names the servers that the request stays away from, so that its next crash
// distinguishes it from other suspects.
func (c *call) serversToAvoid(servers []policy.Server) []string {
	if !c.router.hasSuspects() {
		return nil
	}
	fingerprint := c.fingerprint()
	c.router.mu.Lock()
	defer c.router.mu.Unlock()
	return c.router.quarantine.Avoided(fingerprint, servers)
}

// watchRun notes that the request runs at a server until the function that is returned is called,
// while there are suspects.
func (c *call) trackSuspectRun(server string) (finished func()) {
	if !c.router.hasSuspects() {
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

func (r *Router) isQuarantined(f policy.Fingerprint) bool {
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
func (r *Router) Suspect(suspicions []policy.Suspicion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.quarantine.Merge(time.Now(), suspicions)
}

func (r *Router) recordServed(f policy.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.quarantine.Answered(time.Now(), f)
}

func (r *Router) recordCrash(f policy.Fingerprint, instance policy.Key) {
	if quarantined, why := r.addCrash(f, instance); quarantined {
		r.Observer.Quarantined(why)
	}
}

// noteCrash reports whether a request is quarantined from now on, and why.
func (r *Router) addCrash(f policy.Fingerprint, instance policy.Key) (bool, policy.Suspicion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	quarantined := r.quarantine.Crashed(time.Now(), f, instance)
	return quarantined, r.quarantine.Suspicion(f)
}
