package history

// checkNotRun looks for runs of calls whose callers were told "not run".
//
// A call that repeats the work of others is judged by the request's id, and
// by runs that had started when the caller was told: a later call may have
// run the work since. Without a key each call is a request of its own, so that
// one which came before may have run and failed; the run must then be that of
// another call, by its id or by a call that was not told its id.
func checkNotRun(h *indexed) []Violation {
	var found []Violation
	for _, call := range h.Calls {
		if call.Told != ToldNotRun {
			continue
		}
		shared := h.sharedMarker(call)
		for _, run := range h.runsOf(call.Marker) {
			own := call.RequestID != "" && run.Request == call.RequestID
			if !own && call.IdempotencyKey == "" && h.otherCalls(call, run) {
				continue
			}
			if own || !shared || run.Started.Before(call.Done) {
				found = append(found, Violation{PointNotRun, call.Marker, "told not run, but " + run.ID + " ran on " + run.Server})
			}
		}
	}
	return found
}

func (h *indexed) sharedMarker(call Call) bool { return h.calls[call.Marker] > 1 }

// otherCalls reports whether a run is explained by another call of its work.
func (h *indexed) otherCalls(call Call, run Run) bool {
	for _, other := range h.Calls {
		if other.Marker != call.Marker || other.Sent.Equal(call.Sent) {
			continue
		}
		if other.RequestID == run.Request || (other.RequestID == "" && other.Told != ToldNotRun && other.Sent.Before(run.Started)) {
			return true
		}
	}
	return false
}
