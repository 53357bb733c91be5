package history

import "time"

// Outcome is the final result of a call as its caller observed it.
type Outcome string

// Outcomes of calls.
const (
	// OutcomeComplete means a response with its end marker.
	OutcomeComplete Outcome = "whole"
	// OutcomeNotRun means a refusal that guarantees that the request didn't run.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means an error after which the request may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeFailed means a failure visible to the caller, such as an error event
	// in a stream or a broken connection.
	OutcomeFailed Outcome = "failed"
	// OutcomeNone means that the call didn't end within the caller's timeout.
	OutcomeNone Outcome = "nothing"
)

// Call is one request as its caller observed it.
type Call struct {
	// Marker identifies the work. It is part of the prompt, so that runs contain
	// it. Calls that retry the same work share it.
	Marker string `json:"marker"`
	// RequestID is the ID that the entry gave the request; empty if the caller
	// didn't receive it.
	RequestID string `json:"request_id,omitempty"`
	// Entry is the entry process that the call was sent to.
	Entry          string `json:"entry"`
	Class          string `json:"class"`
	Tier           int    `json:"tier"`
	Customer       string `json:"customer"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// Service is the model or plain service that the class runs on.
	Service string `json:"serves"`
	// Repeatable reports whether requests of the class may run more than once.
	Repeatable bool `json:"repeatable"`
	// Probe marks a call sent after all faults have ended, which must be served.
	Probe bool `json:"probe,omitempty"`
	// MaxDuration, if positive, is how long the call may take if it is served;
	// one of the calls with its marker must be served.
	MaxDuration time.Duration `json:"within,omitempty"`
	// RetryAfter is the retry delay that a refusal asked for.
	RetryAfter time.Duration `json:"retry_after,omitempty"`

	Sent time.Time `json:"sent"`
	// Done is when the caller observed the outcome.
	Done    time.Time `json:"done"`
	Outcome Outcome   `json:"told"`
	// Status and Code are the response's HTTP status and error code.
	Status int    `json:"status,omitempty"`
	Code   string `json:"code,omitempty"`
	// Text is the received response text, and Expected the complete one.
	Text     string `json:"text"`
	Expected string `json:"expected"`
	// Detail describes a failure for the reader; no check uses it.
	Detail string `json:"detail,omitempty"`
}

// CodeOverloaded is the error code of a request refused for lack of capacity.
const CodeOverloaded = "overloaded"

// inProgress reports whether the call was in progress at a time.
func (c Call) inProgress(at time.Time) bool {
	return c.Sent.Before(at) && c.Done.After(at)
}
