package load

import "time"

// DefaultPatience is how long a caller waits for the end of its answer.
const DefaultPatience = 60 * time.Second

// Options says what is sent where.
type Options struct {
	// Scenario is what is sent.
	Scenario Scenario
	// Seed draws the arrivals.
	Seed uint64
	// Target names what stands behind the entries, for the report.
	Target string
	// Entries are the base URLs that requests go to, in turn.
	Entries []string
	// Engines are the base URLs of the stand-in engines, for faults and the
	// record of runs; without them there are none of both.
	Engines []string
	// Patience is how long a caller waits; DefaultPatience when zero.
	Patience time.Duration
	// CheckRetryAfter makes each refused caller come back once, when it was
	// told to; one that was told to wait longer than ReturnWithin stays away.
	CheckRetryAfter bool
	// ReturnWithin is Patience when zero.
	ReturnWithin time.Duration
	// Progress is called about once a second while it runs; may be nil.
	Progress func(Progress)
}

// Progress is how far a run has come.
type Progress struct {
	// Elapsed is the time from the start; Total is how long requests are
	// sent.
	Elapsed time.Duration
	Total   time.Duration
	// Phase is the phase's name.
	Phase string
	// Sent and Ended count requests.
	Sent  int
	Ended int
}
