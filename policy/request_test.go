package policy

import "time"

// request is one caller's request in a simulation.
type request struct {
	workload workload
	id       string
	customer string
	// promptTokens is the length of the prompt.
	promptTokens int
	// responseTokens is the length of the response; generated is how many of its
	// tokens have been generated.
	responseTokens int
	generated      int

	// arrived is when the request was sent, or sent again after a refusal. runStart
	// is the start of the last run and preempted its last preemption.
	arrived      time.Time
	runStart     time.Time
	firstTokenAt time.Time
	preempted    time.Time

	// ticketsAt are the engines at which a ticket of the request waits.
	ticketsAt map[*simulatedEngine]bool
	refusals  []Decision
	// tried names the engines that were offered a ticket.
	tried []string
	// retriedInBurst says that the retry came before the end of the burst.
	retriedInBurst bool
	granted        bool
	// completed says that the complete response was generated, on time or late.
	completed bool
	// retried says that the request was refused and sent again.
	retried bool
	// run is the number of the current run; events of earlier ones are dropped.
	run int
	// queuedInEngine says that the run waits for a place in the engine's batch.
	queuedInEngine bool
}

// ticket returns the ticket that the request offers to an engine.
func (r *request) ticket(copies, maxEngines int) Ticket {
	due, target := r.workload.deadlineTarget()
	return Ticket{
		ID: r.id, Class: r.workload.class, Customer: r.customer, Tier: r.workload.tier,
		Deadline: r.arrived.Add(target), DeadlineMilestone: due,
		Size: r.promptTokens + r.workload.responseTokens, Copies: copies, MaxEngines: maxEngines, Preemptible: true,
		FirstToken: r.workload.firstToken, BetweenTokens: r.workload.betweenTokens,
	}
}

// late reports whether a response that ends now misses one of its targets.
func (r *request) late(now time.Time) bool {
	meanInterval := now.Sub(r.firstTokenAt) / time.Duration(max(r.responseTokens-1, 1))
	exceeds := func(latency, target time.Duration) bool { return target > 0 && latency > target }
	return exceeds(r.firstTokenAt.Sub(r.arrived), r.workload.firstToken) ||
		exceeds(now.Sub(r.arrived), r.workload.completion) ||
		exceeds(meanInterval, r.workload.betweenTokens)
}
