package history

import "fmt"

// checkDraining reports runs that started on a draining server after its time limit.
func checkDraining(h *indexedHistory) []Violation {
	var found []Violation
	for _, drain := range h.Drains {
		deadline := drain.At.Add(drain.Limit)
		for _, run := range h.Runs {
			if run.Server == drain.Server && run.Started.After(deadline) {
				found = append(found, Violation{GuaranteeDraining, drain.Server,
					fmt.Sprintf("run %s started %s after the VM was ordered to drain", run.ID, run.Started.Sub(drain.At))})
			}
		}
	}
	return found
}
