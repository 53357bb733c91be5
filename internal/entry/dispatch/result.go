package dispatch

import "time"

// Outcome is the one final answer to a request.
type Outcome string

// Outcomes of a request.
const (
	// Whole: the caller got the whole answer.
	Whole Outcome = "whole"
	// NotRun: it certainly did not run.
	NotRun Outcome = "not_run"
	// Rejected: the backend server refused it; it did not run.
	Rejected Outcome = "rejected"
	// Failed: it ran and was cut off; part of the answer may have been given.
	Failed Outcome = "failed"
	// Unknown: it may have run, and must not be repeated.
	Unknown Outcome = "unknown"
	// Gone: the caller went away.
	Gone Outcome = "gone"
)

// Result is what became of a request.
type Result struct {
	Outcome Outcome
	// Reason is a short word for logs, metrics and the caller.
	Reason string
	// RetryAfter is when coming back is expected to succeed, with NotRun.
	RetryAfter time.Duration
	// Status and Body are the backend server's, with Rejected.
	Status int
	Body   []byte
	// Sent says that the body may have reached an agent.
	Sent bool
	// Tokens is how many tokens the caller got.
	Tokens int
	// Attempts is how many runs were tried.
	Attempts int
	// FirstToken is the time from arrival to the first token; zero if none.
	FirstToken time.Duration
}
