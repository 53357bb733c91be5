package policy

import "time"

// WaitBound returns the longest time until a class with a waiting ticket is
// granted a slot, on an engine with the given number of slots. classes is the
// largest number of starved classes, and longest the time of the longest run. The
// starvation guarantee ensures the bound; see guarantee.
func WaitBound(slots, classes int, longest time.Duration) time.Duration {
	turns := max(1, 1/(guaranteedShare*float64(max(1, slots))))
	return starvedAfter + time.Duration(float64(classes)*turns*float64(longest)) + longest
}
