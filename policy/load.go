package policy

import "time"

// Load is an agent's report about its engine's queue.
type Load struct {
	// Waiting is the number of tickets, Running the number of granted runs, and Limit
	// the maximum number of concurrent runs.
	Waiting int
	Running int
	Limit   int
	// EstimatedWait is the expected wait of a ticket offered now, by tier.
	EstimatedWait [tierCount]time.Duration
}
