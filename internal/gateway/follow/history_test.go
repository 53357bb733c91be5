package follow

import "testing"

// Guards against a gateway that read the table before anything was written to the store and then, for as long
// as it runs, has no changes for the others: they could neither follow it nor leave polling to it.
func TestHistoryBeginsAtAnEmptyStore(t *testing.T) {
	var h history[string]
	if _, ok := h.since(1); ok {
		t.Error("changes are known before the table was read")
	}
	h.reset(0, nil)
	for n := Position(1); n <= 3; n++ {
		h.add(Delta[string]{From: n - 1, To: n})
	}
	for after := Position(0); after <= 3; after++ {
		if deltas, ok := h.since(after); !ok || len(deltas) != 3-int(after) {
			t.Errorf("after position %d: %d changes, %v; want %d", after, len(deltas), ok, 3-int(after))
		}
	}
	// A history that begins later lacks what was before.
	h.reset(5, nil)
	if _, ok := h.since(4); ok {
		t.Error("changes before the start of the history are known")
	}
}

// Guards against changes that a gateway rejects since they seem to begin after its position, though the store
// had none between the two.
func TestDeltasCoverPositionsWithoutChanges(t *testing.T) {
	var h history[string]
	h.reset(10, nil)
	h.add(Delta[string]{From: 10, To: 12})
	h.add(Delta[string]{From: 30, To: 31})
	for _, after := range []Position{12, 15, 30} {
		deltas, ok := h.since(after)
		if !ok || len(deltas) != 1 || deltas[0].From > after {
			t.Errorf("after position %d: %+v, %v; want one that begins there or before", after, deltas, ok)
		}
	}
	if deltas, ok := h.since(10); !ok || len(deltas) != 2 || deltas[1].From != deltas[0].To {
		t.Errorf("after position 10: %+v, %v; want two that follow each other", deltas, ok)
	}
}
