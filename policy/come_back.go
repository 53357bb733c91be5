package policy

import "time"

// comeBackPart is the part of the target after which a request that was
// refused for want of room is told to come back: most of it is left for the answer
// then.
const comeBackPart = 0.2

// ComeBack is after what time a refused request with a target is to come back.
//
// It answers bursts that fill the servers for a moment: whoever comes back
// within the target may still be answered in time, at a server that has read
// what it had. After a longer time the answer is late whatever happens, and
// the request competes with fresh ones that need not be. Callers come back
// once, so nothing is gained by spreading them over longer times.
func ComeBack(target time.Duration) time.Duration {
	return time.Duration(comeBackPart * float64(target))
}
