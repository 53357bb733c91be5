package history

import "fmt"

// checkTopTier reports top-tier calls that were refused for lack of capacity while
// lower-tier work of the same model or service was started, and top-tier runs that
// were cancelled although no fault was in effect.
func checkTopTier(h *indexedHistory) []Violation {
	var found []Violation
	for _, call := range h.Calls {
		if call.Tier != 0 || call.Outcome == OutcomeComplete {
			continue
		}
		if lower, ok := h.lowerTierRunDuring(call); ok && call.Code == CodeOverloaded {
			found = append(found, Violation{GuaranteeTopTier, call.Marker,
				fmt.Sprintf("refused while lower-tier run %s was started", lower.ID)})
		}
		if run, ok := h.cancelledRun(call); ok && !h.faultDuring(call.Sent, call.Done) {
			found = append(found, Violation{GuaranteeTopTier, call.Marker, "run " + run.ID + " was cancelled"})
		}
	}
	return found
}

// lowerTierRunDuring returns a run of a lower tier's call to the same model or service
// that started while the call was in progress.
func (h *indexedHistory) lowerTierRunDuring(top Call) (Run, bool) {
	for _, lower := range h.Calls {
		if lower.Tier == 0 || lower.Service != top.Service {
			continue
		}
		for _, run := range h.runsOf(lower.Marker) {
			if run.Started.After(top.Sent) && run.Started.Before(top.Done) {
				return run, true
			}
		}
	}
	return Run{}, false
}

func (h *indexedHistory) cancelledRun(call Call) (Run, bool) {
	for _, run := range h.runsOf(call.Marker) {
		if run.Ending == EndingCancelled {
			return run, true
		}
	}
	return Run{}, false
}
