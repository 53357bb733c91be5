package policy

import "time"

// The part of a play in which goodput is counted.
const (
	measureFrom = 35 * time.Second
	measureTo   = time.Minute
)

// tally is what the callers of a class, or of one customer in it, got.
type tally struct {
	offered, whole, onTime int
	// inBurst counts answers on time in the measured part.
	inBurst int
	refused int
	// comeback counts those that came back as told, comebackIn those of them
	// that were answered on time then.
	comeback, comebackIn int
	// soon and soonIn are those of them within the burst; hinted sums hints.
	soon, soonIn  int
	hinted        time.Duration
	preempted     int
	longestWait   time.Duration
	longestResume time.Duration
	ran, wasted   time.Duration
}

// attained is the share of the offered that was answered on time.
func (t *tally) attained() float64 {
	return float64(t.onTime) / float64(max(t.offered, 1))
}

// honest is the share of those that came back as told and then succeeded.
func (t *tally) honest() float64 {
	return float64(t.comebackIn) / float64(max(t.comeback, 1))
}

// goodput is answers on time per second of the measured part.
func (t *tally) goodput() float64 {
	return float64(t.inBurst) / (measureTo - measureFrom).Seconds()
}
