package history

import "time"

// Told is what a caller was told in the end.
type Told string

// What a caller can be told.
const (
	// ToldWhole: an answer with its end mark.
	ToldWhole Told = "whole"
	// ToldNotRun: refused, and certainly not run.
	ToldNotRun Told = "not_run"
	// ToldUnknown: it may have run.
	ToldUnknown Told = "unknown"
	// ToldFailed: a failure that the caller can see, such as an error event
	// in a stream or a broken connection.
	ToldFailed Told = "failed"
	// ToldNothing: the caller had no end within its generous limit.
	ToldNothing Told = "nothing"
)

// Call is one request as its caller saw it.
type Call struct {
	// Marker names the work; it is in the prompt, so that runs carry it.
	// Calls that repeat the same work share it.
	Marker string `json:"marker"`
	// RequestID is what the entry called the request; empty when the caller
	// was not told.
	RequestID string `json:"request_id,omitempty"`
	// Entry is the process it was sent to.
	Entry          string `json:"entry"`
	Class          string `json:"class"`
	Tier           int    `json:"tier"`
	Customer       string `json:"customer"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// Serves is the model or plain service that the class runs on.
	Serves string `json:"serves"`
	// Repeatable is the class's.
	Repeatable bool `json:"repeatable"`
	// Probe calls are sent when all faults are lifted and must be served.
	Probe bool `json:"probe,omitempty"`
	// Within, when set, is how long the call may take if it is served; its
	// work must be served by one of the calls that repeat it.
	Within time.Duration `json:"within,omitempty"`
	// RetryAfter is when a refused caller was told to come back.
	RetryAfter time.Duration `json:"retry_after,omitempty"`

	Sent time.Time `json:"sent"`
	// Done is when the caller was told.
	Done time.Time `json:"done"`
	Told Told      `json:"told"`
	// Status and Code are the answer's HTTP status and error code.
	Status int    `json:"status,omitempty"`
	Code   string `json:"code,omitempty"`
	// Text is what came of the answer, and Expected the whole one.
	Text     string `json:"text"`
	Expected string `json:"expected"`
	// Detail helps a reader of a failure; it is not judged.
	Detail string `json:"detail,omitempty"`
}

// CodeOverloaded is the error code of a request refused for want of capacity.
const CodeOverloaded = "overloaded"

// inProgress reports whether the call was under way at a time.
func (c Call) inProgress(at time.Time) bool {
	return c.Sent.Before(at) && c.Done.After(at)
}
