package policy

import (
	"slices"
	"time"
)

// CombineRetryAfter returns the Retry-After for a caller whose request was refused by several
// engines: the median of their values, or the larger of the two middle values if their number
// is even. The earliest value would come from the engine whose estimate of its load is
// furthest off, and callers may return to any of the engines. The result is at least one
// second, the least that HTTP can state.
func CombineRetryAfter(refusals []Decision) time.Duration {
	if len(refusals) == 0 {
		return minRetryAfter
	}
	delays := make([]time.Duration, 0, len(refusals))
	for _, r := range refusals {
		delays = append(delays, r.RetryAfter)
	}
	slices.Sort(delays)
	return max(delays[len(delays)/2], minRetryAfter)
}
