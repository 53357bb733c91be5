package policy

import "time"

// Decision is the answer to an offered ticket.
type Decision struct {
	// Admitted tickets are queued. Other tickets are rejected and certainly not run.
	Admitted bool
	// QueueFull reports that the ticket was rejected because the bounded queue is full,
	// not because of its target.
	QueueFull bool
	// RetryAfter is the time after which a retry is expected to succeed; set if the ticket
	// is rejected.
	RetryAfter time.Duration
	// Displaced lists the IDs of waiting tickets that were removed from the full queue in
	// favour of this one. They are rejected at once and certainly not run; their time to
	// retry is Scheduler.RetryAfter of their tier.
	Displaced []string
}
