package history

import "fmt"

// checkStops reports calls that were in progress at a planned stop and did not get
// a complete response, and processes that did not exit cleanly. Calls that a fault
// may also have affected, and calls refused for lack of capacity, are left to the
// other checks.
func checkStops(h *indexedHistory) []Violation {
	var found []Violation
	for _, stop := range h.Stops {
		if !stop.Clean {
			found = append(found, Violation{GuaranteeStop, stop.Process, "did not end cleanly: " + stop.Detail})
		}
		for _, call := range h.Calls {
			if call.Outcome == OutcomeComplete || !call.inProgress(stop.At) || h.faultDuring(call.Sent, call.Done) {
				continue
			}
			if call.Code == CodeOverloaded {
				continue
			}
			found = append(found, Violation{GuaranteeStop, stop.Process,
				fmt.Sprintf("call %s was in progress and ended with outcome %s: %s", call.Marker, call.Outcome, call.Detail)})
		}
	}
	return found
}
