package history

import (
	"fmt"
	"time"
)

// FenceSeen is one reading of a fencing number: in a row of the platform, or
// with an order that an engine has carried out, in the order of carrying out.
type FenceSeen struct {
	// Place names the row or the engine.
	Place string    `json:"place"`
	At    time.Time `json:"at"`
	Fence uint64    `json:"fence"`
}

// checkFences looks for places where an older number came after a newer one:
// somebody acted on a lease that was no longer his.
func checkFences(h *indexed) []Violation {
	var found []Violation
	newest := map[string]uint64{}
	for _, seen := range h.Fences {
		if seen.Fence < newest[seen.Place] {
			found = append(found, Violation{PointLease, seen.Place,
				fmt.Sprintf("fencing number %d came after %d", seen.Fence, newest[seen.Place])})
			continue
		}
		newest[seen.Place] = seen.Fence
	}
	return found
}
