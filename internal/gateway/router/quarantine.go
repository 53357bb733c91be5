package router

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
	"time"

	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/policy"
)

// quarantineRetryAfter is the Retry-After for a quarantined request. It is long because a request
// that crashes servers is not admitted again until it has been absent for a long time.
const quarantineRetryAfter = time.Minute

// fingerprint returns a hash that identifies requests for the same work. It leaves out the request ID
// and the timeout, which differ when a caller sends the same request again. The hash is cryptographic
// so that nobody can construct a request with the fingerprint of another customer's.
func (c *call) fingerprint() policy.Fingerprint {
	if !c.fingerprintCached {
		hash := sha256.New()
		for _, part := range []string{c.req.Method, c.req.Host, c.req.RequestURI, c.customer} {
			// Writing to a hash never fails. No part contains a zero byte, so the separators are
			// unambiguous.
			_, _ = io.WriteString(hash, part+"\x00")
		}
		_, _ = hash.Write(c.body)
		c.cachedFingerprint, c.fingerprintCached = policy.Fingerprint(binary.BigEndian.Uint64(hash.Sum(nil))), true
	}
	return c.cachedFingerprint
}

// refuseIfQuarantined reports whether the request is quarantined, and if so, sends the final
// response.
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

// recordCrashEvidence records, after an attempt, whether the request may have crashed the server or
// was served.
func (c *call) recordCrashEvidence(server *backend.Server) {
	switch {
	case c.serverEnded:
		c.router.recordCrash(c.fingerprint(), server.Info().InstanceKey())
	case c.served:
		c.router.recordServed(c.fingerprint())
	}
}

// hasSuspects reports whether any request is suspected of crashing servers. If not, no fingerprint is
// needed before an attempt.
func (r *Router) hasSuspects() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.quarantine.Empty()
}

// serversToAvoid returns the names of the servers that the request should avoid, so that its next
// crash distinguishes it from other suspects.
func (c *call) serversToAvoid(servers []policy.Server) []string {
	if !c.router.hasSuspects() {
		return nil
	}
	fingerprint := c.fingerprint()
	c.router.mu.Lock()
	defer c.router.mu.Unlock()
	return c.router.quarantine.ServersToAvoid(fingerprint, servers)
}

// trackSuspectRun records that the request runs at a server, until the returned function is called.
// It does nothing if there are no suspects.
func (c *call) trackSuspectRun(server string) (finished func()) {
	if !c.router.hasSuspects() {
		return func() {}
	}
	r, fingerprint := c.router, c.fingerprint()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.quarantine.RunStarted(fingerprint, server)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.quarantine.RunEnded(fingerprint, server)
	}
}

// isQuarantined reports whether a request is quarantined now.
func (r *Router) isQuarantined(f policy.Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.quarantine.Quarantined(time.Now(), f)
}

// QuarantinedCount returns the number of quarantined requests.
func (r *Router) QuarantinedCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.quarantine.Len()
}

// MergeSuspicions adds suspicions from another source, such as the store.
func (r *Router) MergeSuspicions(suspicions []policy.Suspicion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.quarantine.Merge(time.Now(), suspicions)
}

// recordServed records that a request got a complete response, which counts against suspicion.
func (r *Router) recordServed(f policy.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.quarantine.ObserveResponse(time.Now(), f)
}

// recordCrash records that a server instance ended while it had the request.
func (r *Router) recordCrash(f policy.Fingerprint, instance policy.Key) {
	if quarantined, evidence := r.addCrash(f, instance); quarantined {
		r.Observer.RequestQuarantined(evidence)
	}
}

// addCrash records a crash. It reports whether the request is quarantined from now on, and returns
// the evidence.
func (r *Router) addCrash(f policy.Fingerprint, instance policy.Key) (bool, policy.Suspicion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	quarantined := r.quarantine.ObserveCrash(time.Now(), f, instance)
	return quarantined, r.quarantine.Suspicion(f)
}
