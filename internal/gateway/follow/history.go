package follow

import "sync"

// recentSteps bounds the steps that are kept: those of a minute in which servers are
// replaced one after the other. Who lacks more reads from the store.
const maxHistoryDeltas = 256

// Step is what changed in a table between two positions.
type Step[T any] struct {
	_          struct{} `cbor:",toarray"`
	From       Position
	To         Position
	Items      []T
	Removed    []string
	Unreadable []string
	// Whole says that Items are the whole table, and that all else is gone from it.
	Whole bool
}

// recent is the newest changes of a table, to be handed to others that follow the
// same one. All methods may be called concurrently.
type history[T any] struct {
	// mu guards what follows; nothing is locked while it is held.
	mu sync.Mutex
	// start is the position from which on steps is complete.
	start  Position
	deltas []Step[T]
	// whole is the table as it was at start, where the store has come back from an older
	// copy then; nil otherwise.
	snapshot *Step[T]
}

// reset begins anew at a position. Who knows the table as of an earlier era can go on
// from whole; nil where it can't be had.
func (h *history[T]) reset(position Position, snapshot *Step[T]) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.start, h.deltas, h.snapshot = position, nil, snapshot
}

func (h *history[T]) add(delta Step[T]) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.deltas = append(h.deltas, delta)
	if len(h.deltas) > maxHistoryDeltas {
		h.start = h.deltas[0].To
		h.deltas = h.deltas[1:]
		h.snapshot = nil
	}
}

// changed is the position after the newest change; 0 for none that is known.
func (h *history[T]) lastChange() Position {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.deltas) == 0 {
		if h.snapshot != nil {
			return h.start
		}
		return 0
	}
	return h.deltas[len(h.deltas)-1].To
}

// known is the same, or, where nothing has changed since the whole table was read, the
// position of that.
func (h *history[T]) lastKnown() Position {
	if position := h.lastChange(); position != 0 {
		return position
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.start
}

// since returns the steps after a position; false if they aren't all known.
func (h *history[T]) since(after Position) ([]Step[T], bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var deltas []Step[T]
	switch {
	case h.start != 0 && after >= h.start:
	case h.snapshot != nil && after != 0 && after.Era() < h.snapshot.To.Era():
		deltas = append(deltas, *h.snapshot)
	default:
		return nil, false
	}
	for _, delta := range h.deltas {
		if delta.To > after {
			deltas = append(deltas, delta)
		}
	}
	return deltas, true
}
