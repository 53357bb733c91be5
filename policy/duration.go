package policy

import "time"

// maxDuration represents an unbounded time.
const maxDuration = 24 * time.Hour

// secondsToDuration converts seconds to a duration of at most maxDuration.
func secondsToDuration(s float64) time.Duration {
	if s > maxDuration.Seconds() {
		return maxDuration
	}
	return time.Duration(s * float64(time.Second))
}
