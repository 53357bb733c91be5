package history

import (
	"fmt"
	"time"
)

// FencingTokenReading is one reading of a fencing token: in a row of the platform, or
// with a command that an engine executed, in the order of execution.
type FencingTokenReading struct {
	// Resource names the row or the engine.
	Resource     string    `json:"place"`
	At           time.Time `json:"at"`
	FencingToken uint64    `json:"fence"`
}

// checkFencingTokens reports resources where an older token follows a newer one: a
// process acted on a lease that it no longer held.
func checkFencingTokens(h *indexedHistory) []Violation {
	var found []Violation
	highest := map[string]uint64{}
	for _, seen := range h.FencingTokens {
		if seen.FencingToken < highest[seen.Resource] {
			found = append(found, Violation{GuaranteeLease, seen.Resource,
				fmt.Sprintf("fencing token %d came after %d", seen.FencingToken, highest[seen.Resource])})
			continue
		}
		highest[seen.Resource] = seen.FencingToken
	}
	return found
}
