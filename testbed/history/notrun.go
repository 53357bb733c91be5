package history

// checkNotRun looks for runs of calls whose callers were told "not run".
//
// A call that repeats the work of others is judged by the request's id, and
// by runs that had started when the caller was told: a later call may have
// run the work since.
func checkNotRun(h *indexed) []Violation {
	var found []Violation
	for _, call := range h.Calls {
		if call.Told != ToldNotRun {
			continue
		}
		shared := h.sharedMarker(call)
		for _, run := range h.runsOf(call.Marker) {
			own := call.RequestID != "" && run.Request == call.RequestID
			if own || !shared || run.Started.Before(call.Done) {
				found = append(found, Violation{PointNotRun, call.Marker, "told not run, but " + run.ID + " ran on " + run.Server})
			}
		}
	}
	return found
}

func (h *indexed) sharedMarker(call Call) bool { return h.calls[call.Marker] > 1 }
