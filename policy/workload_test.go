package policy

import "time"

// workload is one class's arrivals in a play.
type workload struct {
	class  string
	tier   Tier
	prompt int
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

// tally is what the callers of a class got.
type tally struct {
	offered   int
	whole     int
	preempted int
	inBurst   int
	onTime    int
	refused   int
	expired   int
	comeback  int
	// comebackIn counts those that were let in and answered on coming back.
	comebackIn  int
	longestWait time.Duration
	ranTime     time.Duration
	wastedTime  time.Duration
}

// attained is the share of the offered that was answered on time.
func (t *tally) attained() float64 {
	return float64(t.onTime) / float64(max(t.offered, 1))
}

// kept is the share of the answered that was on time.
func (t *tally) kept() float64 {
	return float64(t.onTime) / float64(max(t.whole, 1))
}
