package history

import "fmt"

// checkServed reports calls that never ended, and probes, sent after all faults had
// ended, that were not served.
func checkServed(h *indexedHistory) []Violation {
	var found []Violation
	for _, call := range h.Calls {
		if call.Outcome == OutcomeNone {
			found = append(found, Violation{GuaranteeServed, call.Marker, "the call did not end: " + call.Detail})
			continue
		}
		if call.Probe && call.Outcome != OutcomeComplete {
			found = append(found, Violation{GuaranteeServed, call.Marker,
				fmt.Sprintf("class %s is not served after the faults: %s %s", call.Class, call.Outcome, call.Detail)})
		}
	}
	return found
}
