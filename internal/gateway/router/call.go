package router

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/applepier/applepier/internal/gateway/protocol"
	"github.com/applepier/applepier/internal/gateway/routes"
	"github.com/applepier/applepier/policy"
)

const (
	// stateRetryAfter is the Retry-After of a gateway that has no desired state, or cannot confirm
	// that it is current. Another gateway may have it already.
	stateRetryAfter = 150 * time.Millisecond
	// refusedRetryAfter is the Retry-After if the backend servers had no capacity.
	refusedRetryAfter = 300 * time.Millisecond
	// maxIdleForUnsafe bounds how long a connection may have been idle to carry a request that runs
	// at most once. After a longer time, the backend server may close the connection while the
	// request is on its way, and then it is unknown whether the request ran.
	maxIdleForUnsafe = time.Second
	// maxFailedDials is the number of failed connection attempts after which a request is refused.
	// Each takes up to the dial timeout.
	maxFailedDials = 4
)

// call is one request and its response.
type call struct {
	router *Router
	w      http.ResponseWriter
	req    *http.Request

	arrivedAt time.Time
	// deadline is when the response must be complete.
	deadline time.Time
	params   protocol.RequestInfo
	route    *routes.Route
	customer string
	// urgency ranges from 0, the most urgent, to protocol.UrgencyLevels-1.
	urgency   int
	bodyLimit int64
	// stateVersion is the version of the desired state under which the request is served.
	stateVersion uint64
	// serverID is the ID of the server that was chosen last, and expectedTTFT the time to first token
	// that was expected then.
	serverID     string
	expectedTTFT time.Duration
	// serverVersion is that server's software version when it was chosen, and serverVersionKey its
	// key; empty and 0 if unknown.
	serverVersion    string
	serverVersionKey policy.Key
	// prefillTokens is how many tokens of the prompt that server was expected to prefill, and
	// otherTokensAhead how many tokens of other requests it was expected to prefill first.
	prefillTokens, otherTokensAhead int
	// meanTokens is the prompt length, in tokens, that admission uses instead of the request's own:
	// about the mean of its route. It is 0 without a prompt.
	meanTokens float64
	// serverReserved is set if the server chosen last was reserved for streams with a tight target for
	// pauses.
	serverReserved bool
	body           []byte
	// reservedMemory is what the request has reserved of the memory for requests in progress, in bytes.
	reservedMemory int64
	// responseMemory is what is reserved for the response of the current attempt, in bytes.
	responseMemory int64
	// bodyReadStarted is set once reading the body has started.
	bodyReadStarted bool
	// bodyUnread is set if the rest of the body is left unread.
	bodyUnread bool
	// bodyTimedOut is set if the body was not complete by the deadline.
	bodyTimedOut bool
	// callerDisconnected is set if the caller was found to have disconnected before its response
	// was complete.
	callerDisconnected bool
	// service is the service that was picked from the route's shares.
	service string
	// binding restricts a stream of which the caller has events to servers of one software version.
	binding streamBinding

	// sharedSegments are the segments of the prompt that other requests share. fetchFrom is the
	// address of the server from which the chosen one should fetch those that it has not cached;
	// empty for none.
	sharedSegments []policy.PrefixSegment
	fetchFrom      string
	// triedServers lists the IDs of the servers that were tried. sends counts the attempts in which
	// the request was sent, failedDials those in which no connection could be opened.
	triedServers []string
	sends        int
	// sentAt is when the current attempt began.
	sentAt      time.Time
	failedDials int
	// unreachable lists the servers in triedServers to which one connection attempt has failed. They
	// are tried once more if no other server can take the request.
	unreachable []string
	// retriedUnreachable is set once the servers in unreachable have been made available for a
	// second attempt.
	retriedUnreachable bool
	// retryTaken is set from when the next send was taken from the retry budget until it is made.
	retryTaken bool
	// retryDenied is set if the retry budget did not allow another send.
	retryDenied bool
	// backoffLeft is the time until the first server of the service takes requests again, if all were
	// backed off when one was to be chosen; 0 otherwise.
	backoffLeft time.Duration
	// mayHaveRun is set if a backend server may have run the request.
	mayHaveRun bool
	// serverFailure is the last failure response of a backend server. It is forwarded if no other
	// server serves the request.
	serverFailure *bufferedResponse
	stream        streamState
	// serverEnded is set if the server of the last attempt ended while it had the request.
	serverEnded bool
	// answerTime is how long that server had been answering when the attempt ended; 0 if it had not
	// begun.
	answerTime time.Duration
	// cachedFingerprint is the result of fingerprint. It is valid if fingerprintCached is set.
	cachedFingerprint policy.Fingerprint
	fingerprintCached bool
	// cachedSegments is the result of segments; nil before it is called.
	cachedSegments []policy.SegmentID
	// served is set once a server's complete response has been forwarded.
	served           bool
	firstByteLatency time.Duration
}

// run sends the request to servers until it has a final response or must not be sent again.
func (c *call) run(ctx context.Context) {
	if !c.pickService(ctx) {
		return
	}
	c.router.countRequest(c.service)
	for !c.refuseIfQuarantined() && !c.refuseIfShutdownEnds() {
		server, choice := c.chooseServer()
		if server == nil && c.retryUnreachable() {
			server, choice = c.chooseServer()
		}
		switch {
		case server == nil && choice.RateLimited && c.sends == 0:
			c.refuseServerLimits(choice)
			return
		case server == nil:
			if choice.BackedOff {
				c.backoffLeft = choice.AvailableIn
			}
			c.respondFinalFailure()
			return
		}
		if !c.admitted(choice) {
			c.refuseNoCapacity(choice)
			return
		}
		if !c.takeRetry() {
			c.respondFinalFailure()
			return
		}
		result := c.attempt(ctx, server, choice)
		switch result {
		case resultFinal:
			return
		case resultTruncated:
			c.abortResponse()
		}
		if !c.mayRetry(ctx, result) {
			c.respondFinalFailure()
			return
		}
	}
}

// retryUnreachable makes the unreachable servers available for one more attempt, and reports
// whether there are any. It is called when no other server can take the request. A connection
// timeout says little about a server, since a host that is busy for a moment loses SYN packets.
func (c *call) retryUnreachable() bool {
	if len(c.unreachable) == 0 {
		return false
	}
	c.triedServers = slices.DeleteFunc(c.triedServers, func(id string) bool { return slices.Contains(c.unreachable, id) })
	c.unreachable, c.retriedUnreachable = nil, true
	return true
}

// recordUnreachable records that no connection to the server could be opened. After
// retryUnreachable, a failure is final.
func (c *call) recordUnreachable(server string) {
	c.failedDials++
	if !c.retriedUnreachable {
		c.unreachable = append(c.unreachable, server)
	}
}

// takeRetry takes the next send from the service's retry budget, if the request was sent before, and
// reports whether it may be made. An attempt that sends nothing doesn't use it up.
func (c *call) takeRetry() bool {
	if c.sends > 0 && !c.retryTaken {
		c.retryTaken = c.router.allowRetry(c.service)
		c.retryDenied = !c.retryTaken
		return c.retryTaken
	}
	return true
}

// mayRetry reports whether the request may be sent to another server after an attempt with the
// given result. Nothing is taken from the retry budget before there is a server.
func (c *call) mayRetry(ctx context.Context, result attemptResult) bool {
	if ctx.Err() != nil {
		return false
	}
	if result == resultNotSent {
		return c.failedDials < maxFailedDials
	}
	if !c.stream.resumable() {
		return false
	}
	if result != resultNotRun && !c.route.Idempotent() {
		return false
	}
	if c.sends >= max(c.route.MaxAttempts, 1) {
		return false
	}
	c.retryDenied = !c.router.retryAvailable(c.service)
	return !c.retryDenied
}

// clampSharedSegments returns the segments of a prompt that other requests share, which are all but
// the last. Segments that extend beyond the prompt end at its end.
func clampSharedSegments(segments []protocol.PromptSegment, promptTokens int) []policy.PrefixSegment {
	if len(segments) < 2 {
		return nil
	}
	shared, end := make([]policy.PrefixSegment, len(segments)-1), 0
	for i, p := range segments[:len(segments)-1] {
		end += min(p.Tokens, promptTokens-end)
		shared[i] = policy.PrefixSegment{ID: p.ID, End: end}
	}
	return shared
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }
