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

// segments returns the prompt segments that other requests may share: all but the last.
func (c *call) segments() []policy.SegmentID {
	if c.cachedSegments == nil && len(c.params.PromptSegments) > 1 {
		shared := c.params.PromptSegments[:len(c.params.PromptSegments)-1]
		c.cachedSegments = make([]policy.SegmentID, len(shared))
		for i := range shared {
			c.cachedSegments[i] = policy.SegmentID(shared[i].ID)
		}
	}
	return c.cachedSegments
}

// refuseIfQuarantined reports whether the request is quarantined, and if so, sends the final
// response.
func (c *call) refuseIfQuarantined() bool {
	if !c.router.hasSuspects() || !c.router.isQuarantined(c.fingerprint(), c.segments()) {
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
func (c *call) recordCrashEvidence(server *backend.Server, tracked *trackedRequest) {
	switch {
	case c.serverEnded:
		now := time.Now()
		crash := policy.Crash{Instance: server.Info().InstanceKey(), At: now, Ran: now.Sub(tracked.sentAt)}
		var accused []policy.SegmentID
		if c.answerTime < policy.ProvenAnswerTime {
			accused = c.segments()
		}
		c.router.recordCrash(c.fingerprint(), accused, crash)
	case c.served:
		c.router.recordServed(c.fingerprint(), c.segments(), tracked.startedAt)
	}
}

// observeLongAnswer clears the request's segments once the server has been answering for long enough.
func (c *call) observeLongAnswer(tracked *trackedRequest) {
	if tracked.proven || len(c.segments()) == 0 || tracked.answerTime() < policy.ProvenAnswerTime {
		return
	}
	tracked.proven = true
	r := c.router
	r.mu.Lock()
	defer r.mu.Unlock()
	r.quarantine.ObserveAnswer(tracked.startedAt, c.segments())
}

// hasSuspects reports whether anything is suspected of crashing servers. If not, no fingerprint is
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

// isQuarantined reports whether a request is quarantined now, by its fingerprint or its segments.
func (r *Router) isQuarantined(f policy.Fingerprint, segments []policy.SegmentID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	return r.quarantine.Quarantined(now, f) || r.quarantine.SegmentsQuarantined(now, segments, r.Peers.OwnsTrial)
}

// QuarantinedCount returns the number of quarantined requests and segments.
func (r *Router) QuarantinedCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.quarantine.Len()
}

// Quarantined returns what is known about the quarantined requests and segments.
func (r *Router) Quarantined() []policy.Suspicion {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.quarantine.List()
}

// LiftQuarantine releases a quarantined request or segment at all gateways. It returns false if the
// suspect isn't quarantined.
func (r *Router) LiftQuarantine(id policy.SuspectID) (lifted bool) {
	r.updateQuarantine(func(q *policy.Quarantine) { lifted = q.Lift(time.Now(), id) })
	return lifted
}

// MergeSuspicions adds suspicions from another source, such as the store.
func (r *Router) MergeSuspicions(suspicions []policy.Suspicion) {
	r.updateQuarantine(func(q *policy.Quarantine) { q.Merge(time.Now(), suspicions) })
}

// recordServed records that a request got a complete response, which began at the given time. It counts
// against suspicion.
func (r *Router) recordServed(f policy.Fingerprint, segments []policy.SegmentID, began time.Time) {
	r.updateQuarantine(func(q *policy.Quarantine) {
		q.ObserveResponse(time.Now(), f)
		q.ObserveAnswer(began, segments)
	})
}

// recordCrash records that a server instance ended while it had the request.
func (r *Router) recordCrash(f policy.Fingerprint, segments []policy.SegmentID, crash policy.Crash) {
	r.updateQuarantine(func(q *policy.Quarantine) {
		q.ObserveCrash(crash.At, f, crash.Instance)
		q.ObserveSegmentCrash(segments, crash)
	})
}

// updateQuarantine changes the quarantine, and reports to the Observer what is quarantined or released
// as a result.
func (r *Router) updateQuarantine(update func(q *policy.Quarantine)) {
	quarantined, released := func() ([]policy.Suspicion, []policy.SuspectID) {
		r.mu.Lock()
		defer r.mu.Unlock()
		update(r.quarantine)
		return r.quarantine.TakeChanges()
	}()
	for _, evidence := range quarantined {
		r.Observer.Quarantined(evidence)
	}
	for _, id := range released {
		r.Observer.Released(id)
	}
}
