package dispatch

import (
	"time"

	"github.com/applepier/applepier/internal/targets"
	"github.com/applepier/applepier/internal/wire"
)

// Request is a caller's request, read and checked.
type Request struct {
	// ID is unique; it names the request in logs and on the time line.
	ID string
	// Class is the class of work, as the targets had it on arrival.
	Class targets.Class
	// Customer is whom the work is for.
	Customer string
	// Serves is the model or plain service it runs on.
	Serves string
	// Arrived is when the entry had it whole.
	Arrived time.Time
	// Size is the estimated work in tokens.
	Size int
	// Prefix hashes the prompt's beginning.
	Prefix uint64
	// Repeatable says whether it may run again when its outcome is unknown.
	Repeatable bool
	// Body is what the backend server gets.
	Body []byte
	// Call is set for a plain service's call.
	Call *Call
	// Guard is asked before a grant is taken up; nil for work without an
	// idempotency key.
	Guard Guard
}

// Call is what a plain service's request has beside its body.
type Call struct {
	Method string
	Path   string
	Header []wire.Header
}

// resumable reports whether a cut answer can be continued: a model's stream,
// not a plain service's bytes.
func (r *Request) resumable() bool { return r.Repeatable && r.Call == nil }

// preemptible reports whether a run may be stopped for an urgent one and
// continued later without its answer being late for that alone: a pause breaks
// a target between tokens.
func (r *Request) preemptible() bool {
	return r.resumable() && r.Class.BetweenTokens == 0
}
