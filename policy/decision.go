package policy

import "time"

// Decision is the answer to an offered ticket.
type Decision struct {
	// Admitted tickets wait; the others are refused and certainly not run.
	Admitted bool
	// Full says that the bounded queue, not the target, was the reason.
	Full bool
	// RetryAfter is when coming back is expected to succeed; set when the
	// ticket is refused.
	RetryAfter time.Duration
	// Displaced lists waiting tickets that gave way to this one since the
	// queue was full. They are refused at once and certainly not run; their
	// time to come back is Scheduler.RetryAfter of their tier.
	Displaced []string
}
