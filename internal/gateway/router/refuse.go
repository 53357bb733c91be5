package router

import (
	"net/http"
	"strconv"
	"time"

	"github.com/applepier/applepier/internal/callers"
	"github.com/applepier/applepier/internal/unread"
)

// respondFinalFailure sends the final response when the request must not be sent again: a server's
// failure response if there is one, a refusal if the request certainly did not run, or otherwise an
// error that leaves open whether it ran.
func (c *call) respondFinalFailure() {
	switch {
	case c.endIfDisconnected():
	case c.stream.headerSent:
		c.abortResponse()
	case c.serverFailure != nil:
		c.writeBuffered(c.serverFailure)
		c.reportEnd(c.serverFailure.status, ReasonServerFailure)
	case c.mayHaveRun && !time.Now().Before(c.deadline):
		c.respondError(http.StatusGatewayTimeout, ReasonTimeout)
	case c.mayHaveRun:
		c.respondError(http.StatusBadGateway, ReasonOutcomeUnknown)
	case c.sends > 0:
		c.refuse(ReasonServersRefused, max(refusedRetryAfter, c.backoffLeft))
	case c.backoffLeft > 0:
		c.refuse(ReasonServersBackedOff, max(refusedRetryAfter, c.backoffLeft))
	case !time.Now().Before(c.deadline):
		c.refuse(ReasonTimeoutNotSent, refusedRetryAfter)
	case c.failedDials > 0:
		c.refuse(ReasonServersUnreachable, refusedRetryAfter)
	case c.binding.bound:
		c.refuse(ReasonOriginUnavailable, refusedRetryAfter)
	default:
		c.refuse(ReasonNoServer, refusedRetryAfter)
	}
}

// refuse responds that the request did not and will not run, and when to retry. A gateway without a
// confirmed desired state also closes the connection, since a caller that keeps it would reach the
// same gateway again.
func (c *call) refuse(reason Reason, retryAfter time.Duration) {
	if reason == ReasonStateNotFresh || reason == ReasonNoState {
		c.w.Header().Set("Connection", "close")
	}
	c.w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
	c.respondError(http.StatusServiceUnavailable, reason)
}

// respondError sends an error response of the gateway itself, with the reason as its body.
func (c *call) respondError(status int, reason Reason) {
	writeResponse := func() {
		h := c.w.Header()
		h.Set("Content-Type", "text/plain; charset=utf-8")
		h.Set("Content-Length", strconv.Itoa(len(reason)+1))
		c.w.WriteHeader(status)
		// If the write fails, the caller has disconnected.
		_, _ = c.w.Write([]byte(string(reason) + "\n"))
		c.reportEnd(status, reason)
	}
	if c.bodyReadStarted && !c.bodyTimedOut && !c.bodyUnread {
		writeResponse()
		return
	}
	unread.Respond(c.w, c.req, c.bodyTimedOut, writeResponse)
}

// abortResponse closes the caller's connection because its response cannot be completed, so that the
// caller does not take it for complete. It panics with http.ErrAbortHandler.
func (c *call) abortResponse() {
	c.reportEnd(0, ReasonStreamBroken)
	if !c.req.ProtoAtLeast(1, 1) {
		// In HTTP/1.0, a normal close of the connection is the end of a response without a length,
		// so the connection must be reset.
		callers.ResetOnClose(c.req.Context())
	}
	panic(http.ErrAbortHandler)
}

// reportEnd reports to the Observer how the request ended. A status of 0 means that no response was
// completed.
func (c *call) reportEnd(status int, reason Reason) {
	result := RequestResult{
		ID: c.params.ID, Service: c.service, Customer: c.customer, Urgency: c.urgency,
		Status: status, Reason: reason, Sends: c.sends, FailedDials: c.failedDials, RetryDenied: c.retryDenied, Server: c.serverID, ExpectedTTFT: c.expectedTTFT,
		PromptTokens: c.params.PromptTokens, MeanTokens: int(c.meanTokens), PrefillTokens: c.prefillTokens, TokensAhead: c.otherTokensAhead,
		StateVersion: c.stateVersion, StateAge: c.router.stateAge(),
		FirstByteLatency: c.firstByteLatency, LongestPause: c.stream.longestPause, Duration: time.Since(c.arrivedAt),
		Connection:  callers.ConnStatusOf(c.req.Context()),
		LastEventID: c.params.LastEventID, ResumesID: c.params.ResumesID, Versions: c.stream.versions,
		OriginSource: c.binding.source,
	}
	if result.Resumed() {
		result.OriginVersion = c.originVersion()
	}
	if reason != ReasonServed {
		result.Fingerprint, result.ServerEnded = c.fingerprint(), c.serverEnded
		if c.serverEnded {
			result.Segments, result.AnswerTime = c.segments(), c.answerTime
		}
	}
	if c.route != nil {
		result.Route, result.LatencyTarget, result.PauseTarget = c.route.Name, c.route.LatencyTarget, c.route.PauseTarget
	}
	c.router.Observer.RequestEnded(result)
}
