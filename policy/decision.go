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
}
