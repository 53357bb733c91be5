package soak

import (
	"slices"
	"time"
)

const (
	// backoffSlack is how long after a response with a backoff requests may reach the server that were
	// on their way, and maxInBackoff how many may reach it until the end of that time.
	backoffSlack = 500 * time.Millisecond
	maxInBackoff = 2
)

// sentRequest is an arrival at a server with the call that caused it.
type sentRequest struct {
	Arrival
	call Call
}

// verifyNotices checks that a gateway sends no request that it received later than Bounds.Drain after it
// passed on a response which says that its server drains, and at most maxInBackoff in the time that a server
// asked it to send none.
func (h indexedHistory) verifyNotices(report reportFunc) {
	for _, sent := range h.sentRequests() {
		// One report for a gateway and an instance is enough.
		reported := map[string]bool{}
		reportOnce := func(check, format string, args ...any) {
			if !reported[check] {
				report(check, format, args...)
			}
			reported[check] = true
		}
		for i, notice := range sent {
			if notice.call.Status == 0 || notice.call.Left {
				// The response may not have reached the gateway.
				continue
			}
			if notice.Draining {
				h.verifyDraining(notice, sent[i+1:], reportOnce)
			}
			if notice.Backoff > 0 {
				h.verifyBackoff(notice, sent[i+1:], reportOnce)
			}
		}
	}
}

// sentRequests returns the requests that each gateway sent to each instance, in order of arrival.
func (h indexedHistory) sentRequests() map[[2]string][]sentRequest {
	calls := make(map[string]Call, len(h.Calls))
	for _, c := range h.Calls {
		calls[c.ID] = c
	}
	sent := map[[2]string][]sentRequest{}
	for _, a := range h.Arrivals {
		if call, ok := calls[a.ID]; ok && a.Instance != "" && !slices.Contains(h.Earlier, call.Gateway) {
			key := [2]string{call.Gateway, a.Instance}
			sent[key] = append(sent[key], sentRequest{a, call})
		}
	}
	for _, list := range sent {
		slices.SortFunc(list, func(a, b sentRequest) int { return a.At.Compare(b.At) })
	}
	return sent
}

// verifyDraining checks the requests after a response that says that its server drains.
func (h indexedHistory) verifyDraining(notice sentRequest, later []sentRequest, report reportFunc) {
	for _, s := range later {
		late := s.call.Sent.Sub(notice.call.Done.Add(h.Bounds.Drain))
		if late > 0 && !h.restartedOrPaused(s.call.Gateway, notice.call.Done, s.At) {
			report(checkDraining, "%s: reached %s, sent %s after %s had to stop sending there", s.call, s.Instance, late, s.call.Gateway)
			return
		}
	}
}

// verifyBackoff checks the requests in the time for which a server asked for none.
func (h indexedHistory) verifyBackoff(notice sentRequest, later []sentRequest, report reportFunc) {
	from, until := notice.At.Add(backoffSlack), notice.At.Add(notice.Backoff)
	inBackoff := 0
	for _, s := range later {
		if s.At.After(from) && s.At.Before(until) {
			inBackoff++
		}
	}
	if inBackoff > maxInBackoff && !h.restartedOrPaused(notice.call.Gateway, notice.At, until) && !h.affectedByFault(notice.call.Gateway, notice.call) && !h.affectedByFault(notice.Server, notice.call) {
		report(checkBackoff, "%s: %s asked for %s without requests and got %d requests from %s in it", notice.call, notice.Instance, notice.Backoff, inBackoff, notice.call.Gateway)
	}
}

// restartedOrPaused reports whether a gateway was stopped, killed or paused in a span of time.
func (h indexedHistory) restartedOrPaused(gateway string, from, to time.Time) bool {
	for _, f := range h.Faults {
		if f.Who == gateway && (f.Kind == kindKill || f.Kind == kindPause) && f.From.Before(to) && (f.To.IsZero() || f.To.After(from)) {
			return true
		}
	}
	return slices.ContainsFunc(h.Stops, func(s Stop) bool { return s.Gateway == gateway && s.At.Before(to) && s.End.After(from) })
}
