package load

import "time"

// Outcome is what a caller got.
type Outcome string

// Outcomes of a request.
const (
	// OutcomeOnTime: the whole answer, within the class's targets.
	OutcomeOnTime Outcome = "on_time"
	// OutcomeLate: the whole answer, past a target.
	OutcomeLate Outcome = "late"
	// OutcomeRefused: not run, with the time to come back.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnknown: the caller was told that it may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeBroken: a failure that the caller could see.
	OutcomeBroken Outcome = "broken"
	// OutcomeWrong: what looked like a whole answer was not the caller's.
	OutcomeWrong Outcome = "wrong"
)

// Result is what became of one request.
type Result struct {
	Outcome Outcome
	// Status is the HTTP status; zero when there was none.
	Status int
	// FirstToken and Completion count from when the request was due to be
	// sent; BetweenTokens is the mean over the answer.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	Completion    time.Duration
	// Tokens is how many tokens came.
	Tokens int
	// RetryAfter is when a refused caller is to come back.
	RetryAfter time.Duration
	// Detail says what went wrong; never a prompt or an answer.
	Detail string
}

// whole reports whether the caller has its whole answer.
func (r Result) whole() bool {
	return r.Outcome == OutcomeOnTime || r.Outcome == OutcomeLate
}

// record is a request with all that became of it.
type record struct {
	arrival     arrival
	fingerprint string
	result      Result
	// again is what came of coming back after a refusal; nil when the
	// caller did not.
	again *Result
}

// delivered is how many tokens of whole answers the caller has got.
func (r record) delivered() int {
	delivered := 0
	if r.result.whole() {
		delivered += r.result.Tokens
	}
	if r.again != nil && r.again.whole() {
		delivered += r.again.Tokens
	}
	return delivered
}
