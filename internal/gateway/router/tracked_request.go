package router

import (
	"time"

	"github.com/applepier/applepier/internal/gateway/backend"
)

// visit is a request's stay at a server.
type trackedRequest struct {
	*backend.InFlight
	call *call
	// ahead is what was to be read before the first token, in tokens, when
	// the request was sent.
	tokensAhead float64
	sentAt      time.Time
}

// begun notes that the answer has begun.
func (t *trackedRequest) responseStarted() {
	if t.MarkStarted() {
		t.call.router.Observer.Began(t.call.customer)
		t.call.router.observeFirstToken(t.call, t.tokensAhead, time.Since(t.sentAt))
	}
}
