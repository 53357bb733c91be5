package policy

import "time"

// WaitBound is the longest time until a class that has a ticket waiting is
// granted a slot, on an engine of some slots, with a number of classes starved
// at once and no run longer than longest. It is what the guarantee of eventual
// service promises; see guarantee.
func WaitBound(slots, classes int, longest time.Duration) time.Duration {
	turns := max(1, 1/(guaranteedShare*float64(max(1, slots))))
	return starvedAfter + time.Duration(float64(classes)*turns*float64(longest)) + longest
}
