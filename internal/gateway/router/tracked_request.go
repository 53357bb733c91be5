package router

import (
	"time"

	"github.com/applepier/applepier/internal/gateway/backend"
)

// trackedRequest is a request in flight at a server, with the data for recording its time to
// first token.
type trackedRequest struct {
	*backend.InFlight
	call   *call
	server *backend.Server
	// tokensAhead is how many tokens the server was expected, at the time of sending, to prefill
	// before the first token, the request's own included.
	tokensAhead float64
	sentAt      time.Time
	// responded is set once the server has begun to respond, if only with comments or a failure.
	responded bool
	// startedAt is when the first output was read; zero before.
	startedAt time.Time
	// proven is set once the response has lasted for policy.ProvenAnswerTime.
	proven bool
}

// answerTime returns how long the server has been answering; 0 if it has not begun.
func (t *trackedRequest) answerTime() time.Duration {
	if t.startedAt.IsZero() {
		return 0
	}
	return time.Since(t.startedAt)
}

// responseStarted records that the server has begun to respond. Further calls do nothing.
func (t *trackedRequest) responseStarted() {
	if t.responded {
		return
	}
	t.responded = true
	t.call.router.Observer.ResponseStarted(t.call.customer)
	t.call.router.recordResponse(t.call.serverID)
}

// outputStarted records the first output, for which the server had to prefill the prompt. Further
// calls do nothing.
func (t *trackedRequest) outputStarted() {
	t.responseStarted()
	if t.MarkStarted() {
		t.startedAt = time.Now()
		t.call.router.observeFirstToken(t.call, t.tokensAhead, time.Since(t.sentAt))
	}
}
