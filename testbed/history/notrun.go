package history

// checkNotRun reports runs of calls whose outcome was "not run".
//
// A run with the call's marker is reported if it has the call's request ID, if no other
// call has the marker, or if it started before the call ended. A run that started later
// may belong to a later call with the same marker. Without an idempotency key each call
// is a separate request, so a run that ranByOtherCall attributes to another call is not
// reported.
func checkNotRun(h *indexedHistory) []Violation {
	var found []Violation
	for _, call := range h.Calls {
		if call.Outcome != OutcomeNotRun {
			continue
		}
		shared := h.hasSharedMarker(call)
		for _, run := range h.runsOf(call.Marker) {
			own := call.RequestID != "" && run.Request == call.RequestID
			if !own && call.IdempotencyKey == "" && h.ranByOtherCall(call, run) {
				continue
			}
			if own || !shared || run.Started.Before(call.Done) {
				found = append(found, Violation{GuaranteeNotRun, call.Marker, "reported as not run, but run " + run.ID + " started on " + run.Server})
			}
		}
	}
	return found
}

func (h *indexedHistory) hasSharedMarker(call Call) bool { return h.calls[call.Marker] > 1 }

// ranByOtherCall reports whether a run can be attributed to another call with the
// same marker: one with the run's request ID, or one that received no request ID, was
// sent before the run started and was not reported as not run.
func (h *indexedHistory) ranByOtherCall(call Call, run Run) bool {
	for _, other := range h.Calls {
		if other.Marker != call.Marker || other.Sent.Equal(call.Sent) {
			continue
		}
		if other.RequestID == run.Request || (other.RequestID == "" && other.Outcome != OutcomeNotRun && other.Sent.Before(run.Started)) {
			return true
		}
	}
	return false
}
