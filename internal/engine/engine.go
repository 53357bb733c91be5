// Package engine is an agent's client for its backend server, which runs on the
// same VM and is either an inference engine or a plain service, that is, any other
// HTTP server. Engines stream tokens, honor priorities, resume and cancel streams,
// report their load with a delay and accept orders. Start reading at Engine.
package engine

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// Errors of calls to a backend server.
var (
	// ErrUnreachable means that the backend server did not receive the call,
	// so the run has not started.
	ErrUnreachable = errors.New("backend server is unreachable")
	// ErrTruncated means that the stream ended without the engine's done marker.
	ErrTruncated = errors.New("engine stream ended without its done marker")
	// ErrOtherVersion means that the engine's software has another version than
	// the one that began the stream. The run was cancelled.
	ErrOtherVersion = errors.New("engine has another software version than the one that began the stream")
	// ErrStaleFencingToken means that the engine refused an order because it
	// has seen a higher fencing token.
	ErrStaleFencingToken = errors.New("stale fencing token")
)

// RejectedError means that the engine rejected a request, which did not run.
type RejectedError struct {
	// Status is the engine's HTTP status.
	Status int
	// Body is the engine's error body, which is relayed to the caller. It is
	// truncated to 64 KiB.
	Body []byte
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("engine rejected the request with status %d", e.Status)
}

// Run describes one execution of a request on an engine.
type Run struct {
	// ID identifies the run. It consists of the request ID and the attempt.
	ID string
	// Priority is the tier; the engine runs lower numbers first.
	Priority int
	// Body is the chat completion request in OpenAI's JSON format.
	Body []byte
	// ResumeFrom is the number of tokens that the caller already has. The
	// engine continues after them; zero starts at the beginning.
	ResumeFrom int
	// SoftwareVersion is the software version of the engine that began the
	// stream; empty for one that reports none. It applies if ResumeFrom isn't 0.
	SoftwareVersion string
}

// Chunk is one event of a run's response stream.
type Chunk struct {
	// Data is one chat.completion.chunk in OpenAI's JSON format.
	Data []byte
	// Tokens is the number of tokens in the chunk.
	Tokens int
	// Uncounted is set if the chunk holds output that Tokens doesn't count: a tool
	// call, a refusal, or a further choice. Run.ResumeFrom can't name a position
	// after it.
	Uncounted bool
	// SoftwareVersion is the engine's software version; empty if it reports none.
	SoftwareVersion string
}

// Stream is the streamed response of a run.
type Stream interface {
	// Next returns the next chunk. It returns io.EOF after the engine's
	// done marker, and ErrTruncated when the stream ends without it.
	Next() (Chunk, error)
	// Close closes the stream and cancels an unfinished run.
	Close() error
}

// Load is a load report of the engine. It lags behind the current load.
type Load struct {
	// Running and Waiting count the engine's streams, those of other clients
	// included.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// ReportedAt is the time of the report.
	ReportedAt time.Time `json:"at"`
	// SoftwareVersion is the engine's software version; empty if it reports none.
	SoftwareVersion string `json:"version,omitempty"`
}

// Order is an instruction to an engine from the holder of a lease.
type Order struct {
	// FencingToken is the fencing token of that lease.
	FencingToken uint64 `json:"fence"`
	// LoadModel is the model to load.
	LoadModel string `json:"load_model"`
}

// Engine is the interface of an inference engine.
type Engine interface {
	// Start starts a run. It returns ErrUnreachable or a RejectedError when the
	// run has certainly not started, ErrOtherVersion when it would have continued
	// a stream of another software version, and another error when it is unknown
	// whether it started.
	Start(ctx context.Context, run Run) (Stream, error)
	// Cancel cancels a run. It returns nil when no such run exists.
	Cancel(ctx context.Context, id string) error
	// RunIDs returns the IDs of all runs of the engine, waiting ones included.
	RunIDs(ctx context.Context) ([]string, error)
	// Load returns the engine's latest load report.
	Load(ctx context.Context) (Load, error)
	// SendOrder sends an order and waits until the engine has carried it out or ctx
	// ends: loading a model takes minutes. It returns ErrStaleFencingToken when the
	// engine has seen a higher fencing token.
	SendOrder(ctx context.Context, order Order) error
}
