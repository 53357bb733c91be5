package router

import (
	"time"

	"github.com/applepier/applepier/internal/gateway/backend"
)

// visit is a request's stay at a server.
type visit struct {
	*backend.Stay
	call *call
	// ahead is what was to be read before the first token, in tokens, when
	// the request was sent.
	ahead float64
	sent  time.Time
}

// begun notes that the answer has begun.
func (v *visit) begun() {
	if v.Begun() {
		v.call.router.Observer.Began(v.call.customer)
		v.call.router.observeFirst(v.call, v.ahead, time.Since(v.sent))
	}
}
