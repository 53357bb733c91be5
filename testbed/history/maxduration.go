package history

import "fmt"

// checkMaxDuration reports served calls that took longer than MaxDuration, and work with a
// MaxDuration of which no call was served.
func checkMaxDuration(h *indexedHistory) []Violation {
	var found []Violation
	served, lastCalls := map[string]bool{}, map[string]Call{}
	for _, call := range h.Calls {
		if call.MaxDuration <= 0 {
			continue
		}
		lastCalls[call.Marker] = call
		if call.Outcome != OutcomeComplete {
			continue
		}
		served[call.Marker] = true
		if took := call.Done.Sub(call.Sent); took > call.MaxDuration {
			found = append(found, Violation{GuaranteeServed, call.Marker,
				fmt.Sprintf("class %s was served after %s, at most %s is allowed", call.Class, took, call.MaxDuration)})
		}
	}
	for marker, last := range lastCalls {
		if !served[marker] {
			found = append(found, Violation{GuaranteeServed, marker,
				fmt.Sprintf("class %s was never served: %s %s", last.Class, last.Outcome, last.Detail)})
		}
	}
	return found
}
