package policy

import "time"

// workload is one class's arrivals in a play.
type workload struct {
	class  string
	tier   Tier
	prompt int
	// spread is the standard deviation of the logarithm of prompts' lengths; 0 where all are
	// of the same length.
	spread float64
	// answer is the mean length; real lengths are spread around it.
	answer        int
	firstToken    time.Duration
	betweenTokens time.Duration
	completion    time.Duration
	// rate is arrivals per second at a time since the start.
	rate func(time.Duration) float64
	// customers is how many there are; hot is the share of the first.
	customers int
	hot       float64
}

func flags(rate func(time.Duration) float64) workload {
	return workload{class: "flag", tier: 0, prompt: 100, answer: 10, firstToken: 500 * time.Millisecond, rate: rate}
}

func questions(rate func(time.Duration) float64) workload {
	return workload{class: "question", tier: 2, prompt: 200, answer: 60, firstToken: 2 * time.Second, rate: rate, customers: 10, hot: 0.1}
}

func summaries(rate func(time.Duration) float64) workload {
	return workload{class: "summary", tier: 4, prompt: 3000, answer: 300, completion: time.Minute, rate: rate}
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// burst is a rate that is higher between two times.
func burst(base, high float64, from, to time.Duration) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		if t >= from && t < to {
			return high
		}
		return base
	}
}

func (w workload) due() (Milestone, time.Duration) {
	if w.firstToken > 0 {
		return MilestoneFirstToken, w.firstToken
	}
	return MilestoneCompletion, w.completion
}
