// Package policy holds the decisions under load: what is let in, what waits
// and in which order, what is turned away, how much runs at once, where work
// goes, what is retried, and how fast all of it shifts. It uses the standard
// library only, does no I/O and reads no clock: callers hand in the time.
// Start reading at Scheduler, which decides for one engine, and Placer, which
// decides for one entry.
package policy

// Tier is a class's priority; 0 is the most urgent.
type Tier int

// The tiers at both ends; there are six (letter 1).
const (
	TopTier    Tier = 0
	BottomTier Tier = 5
	tierCount       = int(BottomTier) + 1
)
