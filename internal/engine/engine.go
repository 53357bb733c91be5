// Package engine is what an agent knows of its backend server, which runs on
// the same VM: a model's engine or a plain service. Engines stream tokens,
// honour priorities, resume and cancel streams, report load with a lag and
// take orders. Start reading at Engine.
package engine

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// Errors of an engine.
var (
	// ErrUnreachable: the engine did not take the call; the run has not
	// started.
	ErrUnreachable = errors.New("engine is unreachable")
	// ErrCut: the stream ended without the engine's own end mark.
	ErrCut = errors.New("engine's stream was cut")
	// ErrFenced: the engine refused an order with an old fencing number.
	ErrFenced = errors.New("fencing number is old")
)

// RejectedError is the engine's own refusal of a request; it did not run.
type RejectedError struct {
	// Status is the engine's HTTP status.
	Status int
	// Body is the engine's error body, passed on to the caller.
	Body []byte
}

func (e *RejectedError) Error() string { return "engine rejected the request" }

// Run is one run of a request on an engine.
type Run struct {
	// ID identifies the run: the request id and its attempt.
	ID string
	// Priority is the tier; the engine serves lower numbers first.
	Priority int
	// Body is the chat completion request, in OpenAI's JSON.
	Body []byte
	// ResumeFrom is the number of tokens the caller already has; the engine
	// continues after them. Zero starts at the beginning.
	ResumeFrom int
}

// Chunk is one step of a run's answer.
type Chunk struct {
	// Data is one chat.completion.chunk in OpenAI's JSON.
	Data []byte
	// Tokens is how many tokens it carries.
	Tokens int
}

// Stream is the answer of a run as it comes.
type Stream interface {
	// Next returns the next chunk; io.EOF after the engine's own end mark,
	// ErrCut when the stream ends without it.
	Next() (Chunk, error)
	// Close ends the stream; an unfinished run is cancelled.
	Close() error
}

// Load is the engine's own report, which describes the past.
type Load struct {
	// Running and Waiting are the engine's streams, of all its users.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// At is when the report was made.
	At time.Time `json:"at"`
}

// Order is an instruction to an engine, given under a lease.
type Order struct {
	// Fence is the fencing number of the lease it is given under.
	Fence uint64 `json:"fence"`
	// LoadModel is the model to load.
	LoadModel string `json:"load_model"`
}

// Engine is a model's engine.
type Engine interface {
	// Start starts a run: ErrUnreachable or a RejectedError when it has
	// certainly not started, another error when that is unknown.
	Start(ctx context.Context, run Run) (Stream, error)
	// Cancel ends a run; no error when there is none.
	Cancel(ctx context.Context, id string) error
	// Running lists the runs that the engine has now.
	Running(ctx context.Context) ([]string, error)
	// Load reads the engine's report.
	Load(ctx context.Context) (Load, error)
	// Order gives an order; ErrFenced when its number is old.
	Order(ctx context.Context, order Order) error
}
