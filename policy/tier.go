// Package policy makes the scheduling decisions of the system: admission, queue
// order, load shedding, concurrency limits, placement, retries, and how quickly
// each of them adapts. It uses only the standard library, performs no I/O and
// reads no clock; callers pass in the current time.
//
// Start reading at Scheduler, which decides for one engine, at Placer, which decides
// for one entry, and at Chooser, which decides for one gateway.
package policy

// Tier is the priority of a class; 0 is the most urgent.
type Tier int

// TopTier and BottomTier are the most and the least urgent of the six service
// tiers.
const (
	TopTier    Tier = 0
	BottomTier Tier = 5
	tierCount       = int(BottomTier) + 1
)
