package policy

import "time"

// notInHeap is the heap index of an element that is in no heap.
const notInHeap = -1

// queuedTicket is a waiting ticket with its position in the queue.
type queuedTicket struct {
	ticket Ticket
	// work is the work that the ticket is expected to bring to this engine, in
	// tokens; see copyShare.
	work float64
	// latestStart is when the run must start to meet its target; zero means no
	// target.
	latestStart time.Time
	// expiresAt is when Queue.expire handles the ticket: at latestStart, or for a
	// late ticket maxLateWait after its arrival.
	expiresAt time.Time
	// resumed tickets neither expire nor are displaced, because their caller
	// already has a part of the response.
	resumed bool
	// late marks top-tier tickets that can no longer start in time and continue
	// to wait.
	late bool
	// customer is the queue that holds the ticket; prev and next are its
	// neighbors there.
	customer *customerQueue
	prev     *queuedTicket
	next     *queuedTicket
	// deadlineIndex is the position in Queue.deadlines.
	deadlineIndex int
}

// newQueuedTicket returns a ticket that isn't in a queue yet and expires at its
// latest start.
func newQueuedTicket(t Ticket, work float64, latestStart time.Time, resumed bool) *queuedTicket {
	return &queuedTicket{
		ticket:        t,
		latestStart:   latestStart,
		expiresAt:     latestStart,
		work:          work,
		resumed:       resumed,
		deadlineIndex: notInHeap,
	}
}

// less orders tickets by the time at which they expire.
func (w *queuedTicket) less(other *queuedTicket) bool { return w.expiresAt.Before(other.expiresAt) }

// position implements heapItem.
func (w *queuedTicket) position() *int { return &w.deadlineIndex }

// mayExpire reports whether the ticket expires or becomes late as time passes.
func (w *queuedTicket) mayExpire() bool {
	return !w.resumed && !w.expiresAt.IsZero()
}

// hasInfiniteSlack reports whether the ticket is ordered behind all others: it has
// no latest start, or has missed it.
func (w *queuedTicket) hasInfiniteSlack() bool {
	return w.late || w.latestStart.IsZero()
}

// classKey identifies the class queue of the ticket.
func (w *queuedTicket) classKey() classKey {
	return classKey{name: w.ticket.Class, late: w.late}
}

// customerKey identifies the queue of the ticket within its class.
func (w *queuedTicket) customerKey() customerKey {
	if w.resumed {
		return customerKey{resumed: true}
	}
	return customerKey{name: w.ticket.Customer}
}

// ticketSize returns the work of the ticket in tokens, at least 1, so that every
// grant has a cost.
func ticketSize(t Ticket) int {
	return max(t.Size, 1)
}
