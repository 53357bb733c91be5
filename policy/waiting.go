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
	// resumed tickets neither expire nor give way, since their caller holds
	// a part of the answer.
	resumed bool
	// customer is the line it stands in; before and behind are its
	// neighbours there.
	customer *customerQueue
	before   *waiting
	behind   *waiting
	// deadlineIndex is its place in the heap of deadlines.
	deadlineIndex int
}

func newWaiting(t Ticket, startBy time.Time, resumed bool) *waiting {
	return &waiting{
		ticket:        t,
		startBy:       startBy,
		work:          expectedWork(t),
		resumed:       resumed,
		deadlineIndex: noIndex,
	}
}

// mayExpire reports whether the ticket is given up on when its deadline has
// passed. A top-tier ticket is not: a late warning is worth more than none.
func (w *waiting) mayExpire() bool {
	return !w.resumed && w.ticket.Tier != TopTier && !w.startBy.IsZero()
}

// expectedWork is the work in tokens that a ticket is expected to bring to
// this engine: one of its copies runs, and that is as likely here as at the
// other engines.
func expectedWork(t Ticket) float64 {
	return float64(ticketSize(t)) / float64(max(t.Copies, 1))
}

// ticketSize is the ticket's work in tokens; never zero, so that every grant
// counts for something.
func ticketSize(t Ticket) int {
	return max(t.Size, 1)
}
