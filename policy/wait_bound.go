package policy

import "time"

// WaitBound returns the longest time until a class with a waiting ticket is
// granted a slot, on an engine with the given number of slots, while at most
// classes classes are starved and no run takes longer than longest. The
// starvation guarantee ensures it; see guarantee.
func WaitBound(slots, classes int, longest time.Duration) time.Duration {
	turns := max(1, 1/(guaranteedShare*float64(max(1, slots))))
	return starvedAfter + time.Duration(float64(classes)*turns*float64(longest)) + longest
}
