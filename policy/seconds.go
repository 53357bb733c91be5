package policy

import "time"

// longest stands for a time without a bound.
const longest = 24 * time.Hour

// seconds turns a number of seconds into a duration.
func seconds(s float64) time.Duration {
	if s > longest.Seconds() {
		return longest
	}
	return time.Duration(s * float64(time.Second))
}
