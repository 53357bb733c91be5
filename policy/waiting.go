package policy

import "time"

// noIndex marks an element that is in no heap.
const noIndex = -1

// waiting is a ticket in the queue.
type waiting struct {
	ticket Ticket
	// work is the share of the ticket's size that is expected to run here.
	work float64
	// startBy is when it must start to meet its target; zero for no target.
	startBy time.Time
	// due is when that is looked at, or when a late one is given up.
	due time.Time
	// resumed tickets neither expire nor give way, since their caller holds
	// a part of the answer.
	resumed bool
	// late top-tier tickets can't start in time any more and wait on.
	late bool
	// customer is the line it stands in; before and behind are its
	// neighbours there.
	customer *customerQueue
	before   *waiting
	behind   *waiting
	// deadlineIndex is its place in the heap of deadlines.
	deadlineIndex int
}

func newWaiting(t Ticket, work float64, startBy time.Time, resumed bool) *waiting {
	return &waiting{
		ticket:        t,
		startBy:       startBy,
		due:           startBy,
		work:          work,
		resumed:       resumed,
		deadlineIndex: noIndex,
	}
}

// goesBefore orders the tickets that may expire by when that is looked at.
func (w *waiting) goesBefore(other *waiting) bool { return w.due.Before(other.due) }

func (w *waiting) place() *int { return &w.deadlineIndex }

// timed reports whether the ticket changes state by the passing of time.
func (w *waiting) timed() bool {
	return !w.resumed && !w.due.IsZero()
}

// timeless reports whether the ticket has no moment to start by ahead of it.
func (w *waiting) timeless() bool {
	return w.late || w.startBy.IsZero()
}

// key is the line that the ticket waits in.
func (w *waiting) key() classKey {
	return classKey{name: w.ticket.Class, late: w.late}
}

// customerKey is the line within the class that the ticket waits in.
func (w *waiting) customerKey() customerKey {
	if w.resumed {
		return customerKey{resumed: true}
	}
	return customerKey{name: w.ticket.Customer}
}

// ticketSize is the ticket's work in tokens; never zero, so that every grant
// counts for something.
func ticketSize(t Ticket) int {
	return max(t.Size, 1)
}
