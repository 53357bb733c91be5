package history

// checkNotRun reports runs of calls whose outcome was "not run".
//
// If several calls share a marker, a run counts against a call if it has the call's
// request ID or started before the call ended: a later call may have run the work
// since. Without an idempotency key each call is a separate request, and an earlier
// one may have run and failed; a run is then attributed to another call that has its
// request ID, or that didn't receive one.
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
				found = append(found, Violation{GuaranteeNotRun, call.Marker, "told not run, but " + run.ID + " ran on " + run.Server})
			}
		}
	}
	return found
}

func (h *indexedHistory) hasSharedMarker(call Call) bool { return h.calls[call.Marker] > 1 }

// ranByOtherCall reports whether a run can be attributed to another call with the
// same marker.
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
