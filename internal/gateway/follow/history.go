package follow

import "sync"

// maxHistoryDeltas limits the deltas that are kept. It covers a minute in which servers are
// replaced one after the other; a gateway that lacks more reads from the store.
const maxHistoryDeltas = 256

// Delta is the change of a table between two positions. Items, Removed and
// Unreadable are as in Batch.
type Delta[T any] struct {
	_          struct{} `cbor:",toarray"`
	From       Position
	To         Position
	Items      []T
	Removed    []string
	Unreadable []string
	// Snapshot is set if Items are the complete table, which replaces everything known before. From
	// has no meaning then.
	Snapshot bool
}

// history holds the newest changes of a table, which are shared with other gateways that follow it.
// All methods are safe for concurrent use.
type history[T any] struct {
	// mu guards the fields below; no other lock is acquired while it is held.
	mu sync.Mutex
	// start is the position after which deltas is complete. It is valid if known is set; it may be 0,
	// the position of a store to which nothing was ever written.
	start  Position
	known  bool
	deltas []Delta[T]
	// snapshot is the table at start if the store was restored from an older copy or had lost its
	// history at that point; nil otherwise.
	snapshot *Delta[T]
}

// reset restarts the history at a position. Other gateways that have the table as of an earlier
// position can continue from the snapshot, which is nil if there is none.
func (h *history[T]) reset(position Position, snapshot *Delta[T]) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.start, h.known, h.deltas, h.snapshot = position, true, nil, snapshot
}

func (h *history[T]) add(delta Delta[T]) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// Calls without changes advance the position. The delta also covers that part: a gateway whose
	// position lies within it must not count as lacking changes.
	delta.From = h.start
	if len(h.deltas) > 0 {
		delta.From = h.deltas[len(h.deltas)-1].To
	}
	h.deltas = append(h.deltas, delta)
	if len(h.deltas) > maxHistoryDeltas {
		h.start = h.deltas[0].To
		h.deltas = h.deltas[1:]
		h.snapshot = nil
	}
}

// lastChange returns the position after the newest change; 0 if no change is known.
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

// lastKnown returns lastChange or, if there has been no change since the complete table was read,
// the position of that read.
func (h *history[T]) lastKnown() Position {
	if position := h.lastChange(); position != 0 {
		return position
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.start
}

// since returns the deltas after a position; false if the history doesn't hold all of them.
func (h *history[T]) since(after Position) ([]Delta[T], bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var deltas []Delta[T]
	switch {
	case h.known && after >= h.start:
	case h.snapshot != nil && after != 0:
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
