package policy

import "time"

// run is a granted ticket that holds a slot.
type run struct {
	ticket  Ticket
	granted time.Time
	// started is zero until the grant is taken up.
	started time.Time
	// lastToken is zero until the first token came.
	lastToken time.Time
	// depth is how many runs were on the engine when it started, itself too.
	depth int
	// guaranteed runs were granted out of the guaranteed share.
	guaranteed bool
	// resumed runs ran in part before.
	resumed bool
	// helped says that another run was cancelled since this one is overdue.
	helped bool
	// preempted runs were named by Preempt and are about to end.
	preempted bool
	// overdue says that its late first token was counted already.
	overdue bool
}

// tokens takes n tokens after the first ones and returns the time between
// them.
func (r *run) tokens(now time.Time, n int) time.Duration {
	d := now.Sub(r.lastToken) / time.Duration(max(n, 1))
	r.lastToken = now
	return d
}
