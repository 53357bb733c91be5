package history

import "fmt"

// checkLeaving reports runs that started on a leaving server after its time limit.
func checkLeaving(h *indexedHistory) []Violation {
	var found []Violation
	for _, leaving := range h.Leavings {
		last := leaving.At.Add(leaving.Limit)
		for _, run := range h.Runs {
			if run.Server == leaving.Server && run.Started.After(last) {
				found = append(found, Violation{GuaranteeLeaving, leaving.Server,
					fmt.Sprintf("%s started %s after it was told to leave", run.ID, run.Started.Sub(leaving.At))})
			}
		}
	}
	return found
}
