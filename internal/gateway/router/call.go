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
	// stateHint is when to come back to a gateway that doesn't know the
	// desired state, or not for certain: another one may know it already.
	stateRetryAfter = 150 * time.Millisecond
	// refusedHint is when to come back after the backend servers had no room.
	refusedRetryAfter = 300 * time.Millisecond
	// youngest bounds how long a connection may have been idle that carries a
	// request which runs once at most: on a longer one the request may cross
	// the backend server's close, and then nobody can say whether it ran.
	maxIdleForUnsafe = time.Second
	// mostDials bounds the servers that can't be reached before a request is
	// refused; each takes up to the time-out of a new connection.
	maxFailedDials = 4
)

// call is one request and its answer.
type call struct {
	router *Router
	w      http.ResponseWriter
	req    *http.Request

	arrivedAt time.Time
	// end is when the final answer is due.
	deadline time.Time
	params   protocol.Ask
	route    *routes.Route
	customer string
	// urgency is from 0, the most urgent, to below protocol.Levels.
	urgency   int
	bodyLimit int64
	// version is the desired state's that the request is served by.
	stateVersion uint64
	// server is the last one that was chosen, and expected when the first
	// token was expected there.
	serverID           string
	expectedFirstToken time.Duration
	// prefill is how many tokens of the prompt that server was expected to compute, and
	// ahead how many of other requests before it.
	prefillTokens, tokensAhead int
	// meanTokens is the prompt length by which the request is admitted.
	meanTokens float64
	body       []byte
	// bodyRead says that the body has been read, as far as it is to be.
	bodyRead bool
	// bodyLate says that the body didn't come whole in time.
	bodyLate bool
	// left says that the caller left before it had its answer.
	callerGone bool
	service    string

	// shared are the parts of the prompt that other requests share, and
	// fetchFrom where the chosen server is to fetch what it lacks of them;
	// empty for nowhere.
	sharedParts []policy.Part
	fetchFrom   string
	// tried names the servers that got it or couldn't be reached; sends counts
	// the former, dials the latter.
	triedServers []string
	sends        int
	failedDials  int
	// unreached names those of tried that couldn't be reached, once.
	unreachable []string
	// redialed says that these were tried again.
	retriedUnreachable bool
	// mayHaveRun says that some backend server may have run it.
	mayHaveRun bool
	// failure is a backend server's own failure, to be passed on if no other
	// server does better.
	serverFailure *bufferedResponse
	stream        streamState
	// serverEnded says that the server which had it last ended meanwhile.
	serverEnded bool
	// print is the request's fingerprint once it has been printed.
	cachedFingerprint policy.Fingerprint
	fingerprintCached bool
	// served says that a whole answer of a server was passed on.
	served           bool
	firstByteLatency time.Duration
}

// run sends the request until it has an answer or no other send is allowed.
func (c *call) run(ctx context.Context) {
	c.service = c.route.PickService(serviceHash(c.params.ID))
	c.router.countRequest(c.service)
	for !c.refuseIfQuarantined() {
		server, choice := c.chooseServer()
		if server == nil && c.retryUnreachable() {
			server, choice = c.chooseServer()
		}
		switch {
		case server == nil && choice.Limited && c.sends == 0:
			c.refuseServerLimits(choice)
			return
		case server == nil:
			c.respondFinalFailure()
			return
		}
		if !c.admitted(choice) {
			c.refuseNoCapacity(choice)
			return
		}
		result := c.attempt(ctx, server, choice)
		switch result {
		case resultFinal:
			return
		case resultTruncated:
			c.abortStream()
		}
		if !c.mayRetry(ctx, result) {
			c.respondFinalFailure()
			return
		}
	}
}

// retryUnreached reports whether servers that couldn't be reached may be tried again, once
// each. A connection that isn't opened in time says little of a server: a host that is
// busy for a moment loses the opening packet. It is for requests that no other server can take.
func (c *call) retryUnreachable() bool {
	if len(c.unreachable) == 0 {
		return false
	}
	c.triedServers = slices.DeleteFunc(c.triedServers, func(id string) bool { return slices.Contains(c.unreachable, id) })
	c.unreachable, c.retriedUnreachable = nil, true
	return true
}

// noteUnreached notes that a server couldn't be reached; the second time is final.
func (c *call) recordUnreachable(server string) {
	c.failedDials++
	if !c.retriedUnreachable {
		c.unreachable = append(c.unreachable, server)
	}
}

// mayGoOn reports whether the request may be sent to another server after an
// attempt that came to v, and takes that from the retry budget.
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
	return c.sends < max(c.route.Attempts, 1) && c.router.allowRetry(c.service)
}

// shared are the parts of a prompt that other requests share: all but the last.
// Parts that claim more than the whole prompt are cut at its end.
func clampSharedParts(parts []protocol.Part, promptTokens int) []policy.Part {
	if len(parts) < 2 {
		return nil
	}
	shared, end := make([]policy.Part, len(parts)-1), 0
	for i, p := range parts[:len(parts)-1] {
		end += min(p.Tokens, promptTokens-end)
		shared[i] = policy.Part{ID: p.ID, Upto: end}
	}
	return shared
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }
