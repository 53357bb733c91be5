package router

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/exchange"
	"github.com/applepier/applepier/internal/gateway/protocol"
	"github.com/applepier/applepier/internal/gateway/routes"
	"github.com/applepier/applepier/policy"
)

// attemptResult is the result of sending a request to one server.
type attemptResult int

const (
	// resultFinal: the final response has been written, or the caller has disconnected.
	resultFinal attemptResult = iota
	// resultNotSent: no connection to the server could be opened, or the server takes no requests any
	// more.
	resultNotSent
	// resultNotRun: the server reported that it did not run the request.
	resultNotRun
	// resultUnknown: the request may have run.
	resultUnknown
	// resultServerFailed: the server ran the request and failed. Its response is kept in
	// call.serverFailure.
	resultServerFailed
	// resultTruncated: the caller has received a part of a response that cannot be completed.
	resultTruncated
)

// attempt sends the request to a server and forwards the response.
func (c *call) attempt(ctx context.Context, server *backend.Server, choice policy.Choice) attemptResult {
	info := server.Info()
	c.triedServers = append(c.triedServers, info.ID)
	remaining := time.Until(c.deadline)
	if remaining <= 0 {
		// Nothing is sent. The final response depends on mayHaveRun, which stays as it is.
		return resultUnknown
	}
	c.sentAt = time.Now()
	tracked := &trackedRequest{InFlight: server.Load.Track(c.urgency, c.router.planPrefill(c, choice)), call: c, server: server, tokensAhead: choice.TokensAhead, sentAt: c.sentAt}
	defer tracked.Finish()
	defer c.trackSuspectRun(info.ID)()
	response, err := c.router.Pool.Do(ctx, server.Instance(), c.buildRequest(server, remaining))
	if errors.Is(err, exchange.ErrWithheld) {
		return resultNotSent
	}
	if errors.Is(err, exchange.ErrNotSent) {
		if ctx.Err() == nil {
			c.recordUnreachable(info.ID)
			c.router.recordUnreachable(info.ID)
		}
		return resultNotSent
	}
	c.sends++
	c.retryTaken = false
	c.answerTime = 0
	if err != nil {
		c.serverEnded = errors.Is(err, exchange.ErrIncomplete) && c.serverHasEnded(server)
		c.recordCrashEvidence(server, tracked)
		return c.handleSendError(ctx, info.ID, err)
	}
	defer response.Abort()
	responseInfo := c.router.Dialect.ParseResponse(response.Status, response.Header)
	c.updateServerLimit(server, tracked.sentAt, responseInfo)
	if responseInfo.Backoff == 0 && !responseInfo.OtherInstance {
		c.router.endBackoff(server, tracked.sentAt)
	}
	result := c.handleResponse(ctx, response, responseInfo, tracked)
	c.observeEarlyEnd(response, info.ID)
	c.answerTime = tracked.answerTime()
	c.serverEnded = (response.Incomplete() || response.EndsWithConnection && !c.served) && c.serverHasEnded(server)
	c.recordCrashEvidence(server, tracked)
	c.router.observeOutcome(info.ID, c.policyOutcome(ctx, result))
	return result
}

// handleSendError returns the result of an attempt that got no response after the request was sent.
func (c *call) handleSendError(ctx context.Context, server string, err error) attemptResult {
	c.mayHaveRun = true
	if c.endIfDisconnected() {
		return resultFinal
	}
	switch {
	case errors.Is(err, exchange.ErrTooLarge):
		c.router.recordTooLarge(server, err.Error())
	case ctx.Err() == nil:
		c.router.recordUnanswered(server)
	}
	return resultUnknown
}

// handleResponse reads a response and forwards it to the caller, unless another server should be
// tried.
func (c *call) handleResponse(ctx context.Context, response *exchange.Response, info protocol.ResponseInfo, tracked *trackedRequest) attemptResult {
	switch {
	case info.NotExecuted:
		if info.OtherInstance && c.router.Registry.MarkReplaced(c.serverID) {
			c.router.Observer.ServerReplaced(c.serverID)
		}
		// Read the body so that the connection can be reused.
		_, _ = readLimited(response, maxRejectionBody)
		return resultNotRun
	case info.ContentEncoded, isSuccess(response.Status) && !info.Signed:
		// The body is not the server's own bytes, or callers would not accept the response.
		c.mayHaveRun = true
		return resultUnknown
	case isSuccess(response.Status) && c.route.Kind == routes.KindStream:
		c.mayHaveRun = true
		return c.relayEvents(ctx, response, tracked)
	default:
		c.mayHaveRun = true
		return c.forwardBuffered(ctx, response, tracked)
	}
}

// buildRequest returns the request as it is sent to a server, which has the remaining time to
// respond.
func (c *call) buildRequest(server *backend.Server, remaining time.Duration) *exchange.Request {
	info := server.Info()
	attemptInfo := protocol.AttemptInfo{ServerID: info.ID, Customer: c.customer, Urgency: c.urgency, Timeout: remaining, LastEventID: c.params.LastEventID, FetchFrom: c.fetchFrom}
	if c.stream.hasLastID {
		attemptInfo.LastEventID = string(c.stream.lastID)
	}
	// Idempotent requests may use any connection that the pool has kept.
	maxIdle := time.Hour
	if !c.route.Idempotent() {
		maxIdle = maxIdleForUnsafe
	}
	return &exchange.Request{
		Method:  c.req.Method,
		Target:  c.req.RequestURI,
		Host:    c.req.Host,
		Header:  c.router.Dialect.AttemptHeaders(c.req.Header, attemptInfo),
		Body:    c.body,
		MaxIdle: maxIdle,
		MaySend: func() bool { return c.fitsShutdown(time.Now()) && c.router.claimSend(server) },
		OnHeader: func(status int, h http.Header) {
			c.router.observeNotices(server, c.router.Dialect.ParseResponse(status, h))
		},
		Matches: func(h http.Header) bool { return c.router.Dialect.ParseResponse(0, h).ID == c.params.ID },
	}
}

// policyOutcome returns the outcome of an attempt for the Ejector. An attempt that the server did
// not run, or that ended because ctx did, is no evidence of a failure.
func (c *call) policyOutcome(ctx context.Context, result attemptResult) policy.Outcome {
	switch {
	case c.served:
		return policy.OutcomeComplete
	case result == resultNotRun, ctx.Err() != nil:
		return policy.OutcomeCancelled
	default:
		return policy.OutcomeFailed
	}
}
