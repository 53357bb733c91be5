package load

import "time"

// DefaultRequestTimeout is the default timeout of a request, including its
// response.
const DefaultRequestTimeout = 60 * time.Second

// Options configures Run.
type Options struct {
	// Scenario is the load to send.
	Scenario Scenario
	// Seed is the random seed of the arrivals.
	Seed uint64
	// Target is the name of the system under test in the report.
	Target string
	// Entries are the base URLs to which requests are sent, round robin. At
	// least one is required.
	Entries []string
	// Engines are the base URLs of the stand-in engines. Without them no faults
	// are injected, and the report has no figures from the records of runs.
	Engines []string
	// RequestTimeout is the timeout of a request, including its response;
	// DefaultRequestTimeout if zero.
	RequestTimeout time.Duration
	// RetryRefused makes Run retry each refused request once, after its
	// Retry-After. Requests whose Retry-After is longer than MaxRetryAfter
	// are not retried.
	RetryRefused bool
	// MaxRetryAfter is the longest Retry-After that is followed;
	// RequestTimeout if zero.
	MaxRetryAfter time.Duration
	// Progress is called about once a second during the run; may be nil.
	Progress func(Progress)
}

// Progress is the current progress of a run.
type Progress struct {
	// Elapsed is the time since the start. Total is the duration of the
	// scenario, without waiting for the last responses.
	Elapsed time.Duration
	Total   time.Duration
	// Phase is the name of the current phase.
	Phase string
	// Sent and Ended are the numbers of requests sent and ended so far.
	Sent  int
	Ended int
}
