package history

import "fmt"

// checkLeaving looks for runs that started on a leaving server too late.
func checkLeaving(h *indexed) []Violation {
	var found []Violation
	for _, leaving := range h.Leavings {
		last := leaving.At.Add(leaving.Limit)
		for _, run := range h.Runs {
			if run.Server == leaving.Server && run.Started.After(last) {
				found = append(found, Violation{PointLeaving, leaving.Server,
					fmt.Sprintf("%s started %s after it was told to leave", run.ID, run.Started.Sub(leaving.At))})
			}
		}
	}
	return found
}
