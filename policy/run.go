package policy

import "time"

// run is a granted ticket that holds a slot.
type run struct {
	ticket  Ticket
	granted time.Time
	// started is when the run started on the engine; zero before.
	started time.Time
	// lastToken is when the last tokens arrived; zero before the first one.
	lastToken time.Time
	// depth is the number of runs on the engine when this one started, itself
	// included.
	depth int
	// guaranteed marks runs that were granted under the starvation guarantee.
	guaranteed bool
	// resumed marks runs that were partially executed before.
	resumed bool
	// preemptionAttempted is set once Preempt has looked for a run to cancel
	// because this one is overdue, whether it found one or not.
	preemptionAttempted bool
	// preempted marks runs that Preempt has returned and that are about to end.
	preempted bool
	// overdue is set once the limiter has been told that the first token is delayed
	// and still missing.
	overdue bool
}

// observeTokens records the arrival of n tokens after the first and returns the
// mean time between them.
func (r *run) observeTokens(now time.Time, n int) time.Duration {
	d := now.Sub(r.lastToken) / time.Duration(max(n, 1))
	r.lastToken = now
	return d
}
