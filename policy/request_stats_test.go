package policy

import "time"

// Goodput is counted between these times since the start of a simulation.
const (
	measureStart = 35 * time.Second
	measureEnd   = time.Minute
)

// requestStats counts the outcomes of a class's requests, or of those of one of
// its customers.
type requestStats struct {
	// offered counts requests without their retries; completed and onTime count
	// those of them that were answered without a retry.
	offered, completed, onTime int
	// onTimeMeasured counts responses on time between measureStart and measureEnd,
	// those to retries too.
	onTimeMeasured int
	refused        int
	// retries counts requests sent again after the Retry-After time, and
	// retriesOnTime those of them that were then answered on time.
	retries, retriesOnTime int
	// retriesInBurst and retriesInBurstOnTime count the same for retries that came
	// before the burst ended; totalRetryAfter is the sum of all Retry-After times.
	retriesInBurst, retriesInBurstOnTime int
	totalRetryAfter                      time.Duration
	preemptions                          int
	// longestWait is the longest time from arrival to the first grant, and
	// longestResumeWait the longest from a preemption to the next grant.
	longestWait       time.Duration
	longestResumeWait time.Duration
	// runTime is the time that completed runs held a slot; wastedTime is the time
	// to prefill again the prompts of preempted runs.
	runTime, wastedTime time.Duration
}

// attainment returns the share of the offered requests that was answered on time
// without a retry.
func (s *requestStats) attainment() float64 {
	return float64(s.onTime) / float64(max(s.offered, 1))
}

// retrySuccess returns the share of retries that was answered on time.
func (s *requestStats) retrySuccess() float64 {
	return float64(s.retriesOnTime) / float64(max(s.retries, 1))
}

// goodput returns the responses on time per second between measureStart and
// measureEnd.
func (s *requestStats) goodput() float64 {
	return float64(s.onTimeMeasured) / (measureEnd - measureStart).Seconds()
}
