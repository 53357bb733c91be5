package history

import "fmt"

// checkAtMostOnce reports work that is not repeatable and ran more than once.
func checkAtMostOnce(h *indexedHistory) []Violation {
	var found []Violation
	seen := map[string]bool{}
	for _, call := range h.Calls {
		if call.Repeatable || seen[call.Marker] {
			continue
		}
		seen[call.Marker] = true
		if runs := h.runsOf(call.Marker); len(runs) > 1 {
			found = append(found, Violation{GuaranteeAtMostOnce, call.Marker,
				fmt.Sprintf("ran %d times, first as %s on %s, then as %s on %s",
					len(runs), runs[0].ID, runs[0].Server, runs[1].ID, runs[1].Server)})
		}
	}
	return found
}

// checkUnknown reports calls that ended with "unknown" or a failure although no
// fault was in effect while they were in progress.
func checkUnknown(h *indexedHistory) []Violation {
	var found []Violation
	for _, call := range h.Calls {
		if call.Outcome != OutcomeUnknown && call.Outcome != OutcomeFailed {
			continue
		}
		if h.faultDuring(call.Sent, call.Done) || h.earlierAttempt(call) {
			continue
		}
		found = append(found, Violation{GuaranteeAtMostOnce, call.Marker, fmt.Sprintf("outcome %s without a fault: %s", call.Outcome, call.Detail)})
	}
	return found
}

// earlierAttempt reports whether another call with the same idempotency key was sent
// before, so that this call may correctly return that call's outcome.
func (h *indexedHistory) earlierAttempt(call Call) bool {
	for _, other := range h.Calls {
		if call.IdempotencyKey != "" && other.IdempotencyKey == call.IdempotencyKey && other.Sent.Before(call.Sent) {
			return true
		}
	}
	return false
}
