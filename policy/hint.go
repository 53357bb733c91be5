package policy

import "time"

// Hint combines the refusals of a request's agents to the Retry-After that
// its caller gets: the soonest, since room at one engine is enough. It is one
// second at least, the least that HTTP can state.
func Hint(refusals []Decision) time.Duration {
	hint := time.Duration(0)
	for _, r := range refusals {
		if hint == 0 || r.RetryAfter < hint {
			hint = r.RetryAfter
		}
	}
	return max(hint, minRetryAfter)
}
