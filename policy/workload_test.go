package policy

import "time"

// workload describes the requests of one class in a simulation.
type workload struct {
	class string
	tier  Tier
	// promptTokens is the mean length of prompts, and promptSigma the standard deviation
	// of the logarithm of their lengths; 0 if all have the same length.
	promptTokens int
	promptSigma  float64
	// responseTokens is the mean length of responses; lengths are uniform between a
	// quarter of it and 1.75 times as much.
	responseTokens int
	// firstToken, betweenTokens and completion are the latency targets; 0 means none.
	firstToken    time.Duration
	betweenTokens time.Duration
	completion    time.Duration
	// rate returns the arrivals per second at a time since the start.
	rate func(time.Duration) float64
	// customers is the number of customers; hotShare is the share of requests that the
	// first of them sends.
	customers int
	hotShare  float64
}

// flagWorkload returns the hazard-flag class: top tier, short prompts and responses.
func flagWorkload(rate func(time.Duration) float64) workload {
	return workload{class: "flag", tier: 0, promptTokens: 100, responseTokens: 10, firstToken: 500 * time.Millisecond, rate: rate}
}

// questionWorkload returns the planner-question class: ten customers with equal shares.
func questionWorkload(rate func(time.Duration) float64) workload {
	return workload{class: "question", tier: 2, promptTokens: 200, responseTokens: 60, firstToken: 2 * time.Second, rate: rate, customers: 10, hotShare: 0.1}
}

// summaryWorkload returns the summary class: low tier, long prompts and responses.
func summaryWorkload(rate func(time.Duration) float64) workload {
	return workload{class: "summary", tier: 4, promptTokens: 3000, responseTokens: 300, completion: time.Minute, rate: rate}
}

// constantRate returns an arrival rate that doesn't change.
func constantRate(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// burstRate returns an arrival rate that is high between two times and base
// otherwise.
func burstRate(base, high float64, from, to time.Duration) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		if t >= from && t < to {
			return high
		}
		return base
	}
}

// deadlineTarget returns the milestone of the tickets' deadline and the target for it.
func (w workload) deadlineTarget() (Milestone, time.Duration) {
	if w.firstToken > 0 {
		return MilestoneFirstToken, w.firstToken
	}
	return MilestoneCompletion, w.completion
}
