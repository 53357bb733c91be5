package policy

import "time"

// Load is what an agent tells of its engine's queue.
type Load struct {
	// Waiting counts tickets, Running counts granted runs and Limit is how
	// many may run at once.
	Waiting int
	Running int
	Limit   int
	// EstimatedWait is how long a ticket of each tier would wait if it were
	// offered now.
	EstimatedWait [tierCount]time.Duration
}
