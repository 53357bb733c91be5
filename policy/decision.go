package policy

import "time"

// Decision is the result of offering a ticket.
type Decision struct {
	// Admitted tickets are queued. Other tickets are refused and never run.
	Admitted bool
	// QueueFull reports that the ticket was refused because the bounded queue is full,
	// not because of its target.
	QueueFull bool
	// RetryAfter is the time after which a retry is expected to succeed; set if the ticket
	// is refused.
	RetryAfter time.Duration
	// Displaced lists the IDs of waiting tickets that were removed from the full queue in favor of
	// this one. They are refused at once and never run; Scheduler.RetryAfter returns the time after
	// which to retry them.
	Displaced []string
}
