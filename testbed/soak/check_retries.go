package soak

import (
	"time"

	"github.com/applepier/applepier/testbed/retries"
)

// verifyRetries checks the sends of all gateways, killed ones included, against the bound on retries. All
// routes lead to one service. Gateways of earlier releases may keep another bound.
func (h indexedHistory) verifyRetries(report reportFunc) {
	if h.Bounds.Retries == (retries.Rule{}) || len(h.Earlier) > 0 {
		return
	}
	requests := make([]time.Time, len(h.Calls))
	for i, c := range h.Calls {
		requests[i] = c.Sent
	}
	sends := make([]retries.Send, len(h.Arrivals))
	for i, a := range h.Arrivals {
		sends[i] = retries.Send{ID: a.ID, At: a.At}
	}
	if worst := h.Bounds.Retries.Worst(requests, retries.Retries(sends)); worst.Excess() > 0 {
		report(checkRetries, "%d retries within %s from %s on, %.1f are allowed", worst.Retries, h.Bounds.Retries.Window, worst.From, worst.Allowed)
	}
}
