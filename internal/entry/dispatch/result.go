package dispatch

import "time"

// Outcome is the final outcome of a request.
type Outcome string

// Outcomes of a request.
const (
	// Completed: the caller got the complete response.
	Completed Outcome = "whole"
	// NotRun: the request did not run.
	NotRun Outcome = "not_run"
	// Rejected: the backend server rejected the request; it did not run.
	Rejected Outcome = "rejected"
	// Failed: the request ran or may have run and was interrupted; the caller
	// may have received a part of the response.
	Failed Outcome = "failed"
	// Unknown: the request may have run and must not be repeated.
	Unknown Outcome = "unknown"
	// Cancelled: the caller disconnected.
	Cancelled Outcome = "gone"
)

// Result is the final result of a request.
type Result struct {
	Outcome Outcome
	// Reason is a short code for logs, metrics and the caller.
	Reason string
	// RetryAfter is the time after which a retry is expected to succeed. It is
	// set with NotRun, and with Failed if a later attempt was refused.
	RetryAfter time.Duration
	// Status and Body are the backend server's HTTP status and body. They are
	// set with Rejected.
	Status int
	Body   []byte
	// BodySent is set if the body may have reached an agent.
	BodySent bool
	// Tokens is the number of tokens delivered to the caller.
	Tokens int
	// Attempts is the number of attempts.
	Attempts int
	// FirstToken is the time from arrival to the first token; zero if there was
	// none.
	FirstToken time.Duration
}
