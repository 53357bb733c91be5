package soak

import (
	"net/http"
	"time"
)

// headBound is how soon a gateway must give up on a head that doesn't end.
const headBound = time.Second

// verifyEndlessHeads checks that callers whose request reached only a server that sends a head without an end
// don't wait for it until the route's timeout.
func (h indexedHistory) verifyEndlessHeads(report reportFunc) {
	for _, c := range h.Calls {
		arrivals := h.arrivals[c.ID]
		if c.Status != http.StatusGatewayTimeout || len(arrivals) != 1 || !endlessResponses[arrivals[0].Script].inHead || h.affectedByFault(c.Gateway, c) {
			continue
		}
		if left := c.Sent.Add(c.Timeout).Sub(arrivals[0].At); left > headBound {
			report(checkEndlessHeads, "%s: its server sent a head without an end %s before the route's timeout", c, left)
		}
	}
}
