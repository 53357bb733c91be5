package history

import (
	"fmt"
	"time"
)

// FencingTokenReading is one reading of a fencing token: in a row of the platform, or
// with a command that an engine executed, in the order of execution.
type FenceSeen struct {
	// Resource names the row or the engine.
	Place string    `json:"place"`
	At    time.Time `json:"at"`
	Fence uint64    `json:"fence"`
}

// checkFencingTokens reports resources where an older token follows a newer one: a
// process acted on a lease that it no longer held.
func checkFencingTokens(h *indexedHistory) []Violation {
	var found []Violation
	highest := map[string]uint64{}
	for _, seen := range h.Fences {
		if seen.Fence < highest[seen.Place] {
			found = append(found, Violation{PointLease, seen.Place,
				fmt.Sprintf("fencing number %d came after %d", seen.Fence, highest[seen.Place])})
			continue
		}
		highest[seen.Place] = seen.Fence
	}
	return found
}
