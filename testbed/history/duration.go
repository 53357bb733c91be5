package history

import "fmt"

// checkBound reports served calls that took longer than MaxDuration, and work with
// such a bound that was never served although its client retried.
func checkBound(h *indexedHistory) []Violation {
	var found []Violation
	served, lastCalls := map[string]bool{}, map[string]Call{}
	for _, call := range h.Calls {
		if call.Within <= 0 {
			continue
		}
		lastCalls[call.Marker] = call
		if call.Told != ToldWhole {
			continue
		}
		served[call.Marker] = true
		if took := call.Done.Sub(call.Sent); took > call.Within {
			found = append(found, Violation{PointServed, call.Marker,
				fmt.Sprintf("class %s was served after %s, bound %s", call.Class, took, call.Within)})
		}
	}
	for marker, last := range lastCalls {
		if !served[marker] {
			found = append(found, Violation{PointServed, marker,
				fmt.Sprintf("class %s was never served: %s %s", last.Class, last.Told, last.Detail)})
		}
	}
	return found
}
