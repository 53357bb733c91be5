package policy

import "time"

// request is one caller's request in a play.
type request struct {
	w        workload
	id       string
	customer string
	// prompt is its length.
	prompt int
	// answer is the length, given how much of it came.
	answer int
	given  int

	arrived   time.Time
	began     time.Time
	first     time.Time
	cancelled time.Time

	// holders are the engines at which a ticket waits.
	holders  map[*playEngine]bool
	refusals []Decision
	// tried are the engines that were asked.
	tried []string
	// soon says that the caller came back while the burst went on.
	soon    bool
	granted bool
	// served says that the answer was whole, late or not.
	served bool
	// again says that the caller came back after a refusal.
	again bool
	// run counts runs, so that events of a cancelled one are dropped.
	run int
	// inLine says that the run waits inside the engine.
	inLine bool
}

func (r *request) ticket(copies, asks int) Ticket {
	due, target := r.w.due()
	return Ticket{
		ID: r.id, Class: r.w.class, Customer: r.customer, Tier: r.w.tier,
		Deadline: r.arrived.Add(target), Due: due,
		Size: r.prompt + r.w.answer, Copies: copies, Asks: asks, Preemptible: true,
		FirstToken: r.w.firstToken, BetweenTokens: r.w.betweenTokens,
	}
}

// late reports whether the answer that ends now missed its target.
func (r *request) late(now time.Time) bool {
	mean := now.Sub(r.first) / time.Duration(max(r.answer-1, 1))
	missed := func(d, target time.Duration) bool { return target > 0 && d > target }
	return missed(r.first.Sub(r.arrived), r.w.firstToken) ||
		missed(now.Sub(r.arrived), r.w.completion) ||
		missed(mean, r.w.betweenTokens)
}
