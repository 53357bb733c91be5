package policy

import (
	"slices"
	"time"
)

// Hint combines the refusals of a request's agents to the Retry-After that
// its caller gets: the median, of two the later. The soonest would be that of
// the engine that is most wrong about its load, and callers come back to any
// of them. It is one second at least, the least that HTTP can state.
func Hint(refusals []Decision) time.Duration {
	if len(refusals) == 0 {
		return minRetryAfter
	}
	hints := make([]time.Duration, 0, len(refusals))
	for _, r := range refusals {
		hints = append(hints, r.RetryAfter)
	}
	slices.Sort(hints)
	return max(hints[len(hints)/2], minRetryAfter)
}
