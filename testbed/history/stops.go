package history

import "fmt"

// checkStops looks for calls that were under way at a planned stop and did
// not get their whole answer, and for processes that did not end cleanly.
// Calls that also met a fault are left to the other checks.
func checkStops(h *indexed) []Violation {
	var found []Violation
	for _, stop := range h.Stops {
		if !stop.Clean {
			found = append(found, Violation{PointStop, stop.Process, "did not end cleanly: " + stop.Detail})
		}
		for _, call := range h.Calls {
			if call.Told == ToldWhole || !call.inProgress(stop.At) || h.faultDuring(call.Sent, call.Done) {
				continue
			}
			if call.Code == CodeOverloaded {
				continue
			}
			found = append(found, Violation{PointStop, stop.Process,
				fmt.Sprintf("%s was under way and was told %s: %s", call.Marker, call.Told, call.Detail)})
		}
	}
	return found
}
