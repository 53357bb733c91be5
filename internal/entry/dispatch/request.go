package dispatch

import (
	"time"

	"github.com/applepier/applepier/internal/targets"
	"github.com/applepier/applepier/internal/wire"
)

// Request is a caller's request, parsed and validated.
type Request struct {
	// ID is the unique request ID, used in logs and on the timeline.
	ID string
	// Class is the request's class from the targets in force on arrival.
	Class targets.Class
	// Customer is the name of the customer that the request is accounted to.
	Customer string
	// Serves is the name of the model or plain service that runs the
	// request.
	Serves string
	// Arrived is the time when the entry had read the request's headers, before
	// it read the body.
	Arrived time.Time
	// EstimatedTokens is the estimated size of the request in tokens: prompt and
	// completion for a model, the body for a plain service.
	EstimatedTokens int
	// PrefixHash is a hash of the beginning of the prompt.
	PrefixHash uint64
	// Repeatable is set if the request may run again when the outcome of an
	// attempt is unknown.
	Repeatable bool
	// MayBeUncounted is set if the response may hold output that can't be resumed,
	// such as tool calls.
	MayBeUncounted bool
	// Body is the body sent to the backend server.
	Body []byte
	// ServiceCall is set for a request to a plain service, nil for a
	// model.
	ServiceCall *ServiceCall
	// GrantRecorder is called before a grant is used; nil for a request without
	// an idempotency key.
	GrantRecorder GrantRecorder
}

// ServiceCall holds the method, path and headers of a request to a plain
// service.
type ServiceCall struct {
	Method string
	Path   string
	Header []wire.Header
}

// resumable reports whether an interrupted response can be continued. Only a
// model's token stream can; the bytes of a plain service cannot.
func (r *Request) resumable() bool { return r.Repeatable && r.ServiceCall == nil }

// preemptible reports whether a run may be stopped for a more urgent one and
// resumed later. A run whose class has a target for the time between tokens may
// not: the pause would exceed the target. Neither may one that perhaps can't be
// resumed.
func (r *Request) preemptible() bool {
	return r.resumable() && !r.MayBeUncounted && r.Class.BetweenTokens == 0
}
