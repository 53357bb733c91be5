package policy

import "time"

// maxDuration represents an unbounded time.
const longest = 24 * time.Hour

// secondsToDuration converts seconds to a duration of at most maxDuration.
func seconds(s float64) time.Duration {
	if s > longest.Seconds() {
		return longest
	}
	return time.Duration(s * float64(time.Second))
}
