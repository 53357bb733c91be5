package load

import "time"

// Outcome is the outcome of a request as the caller sees it.
type Outcome string

// Outcomes of a request.
const (
	// OutcomeOnTime: a complete response that met the targets of its class.
	OutcomeOnTime Outcome = "on_time"
	// OutcomeLate: a complete response that missed a target.
	OutcomeLate Outcome = "late"
	// OutcomeRefused: rejected without being run, with a Retry-After.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnknown: an error that says that the request may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeBroken: any other failure that the caller can detect.
	OutcomeBroken Outcome = "broken"
	// OutcomeWrong: a response that looks complete but is not the expected
	// one.
	OutcomeWrong Outcome = "wrong"
)

// Result is the result of sending one request.
type Result struct {
	Outcome Outcome
	// Status is the HTTP status, or 0 if no response was received.
	Status int
	// FirstToken and Completion are measured from the time for which the
	// request was scheduled. BetweenTokens is the mean over the response.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	Completion    time.Duration
	// Tokens is the number of tokens received.
	Tokens int
	// RetryAfter is the Retry-After of a refused request.
	RetryAfter time.Duration
	// Detail describes a failure. It never contains prompt or response text.
	Detail string
}

// complete reports whether the caller received its complete response.
func (r Result) complete() bool {
	return r.Outcome == OutcomeOnTime || r.Outcome == OutcomeLate
}

// requestRecord is a request with its results.
type requestRecord struct {
	arrival     arrival
	fingerprint string
	result      Result
	// retry is the result of the retry after a refusal; nil if there was
	// none.
	retry *Result
}

// deliveredTokens returns the number of tokens that the caller received in
// complete responses.
func (r requestRecord) deliveredTokens() int {
	delivered := 0
	if r.result.complete() {
		delivered += r.result.Tokens
	}
	if r.retry != nil && r.retry.complete() {
		delivered += r.retry.Tokens
	}
	return delivered
}
