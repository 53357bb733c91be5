package policy

import "time"

// budgetSlots is into how many parts a window is counted; a part that is
// half out counts whole, so that the budget errs on the safe side.
const budgetSlots = 20

// WindowBudget allows sends beyond the first as a share of the requests in a
// sliding window, plus a fixed number. It is one sender's part of a budget that
// all senders share: each spends the share of its own requests, and of the
// fixed number an equal part.
//
// It answers a service that fails while callers press: without it each failure
// brings another send, until repeats are most of the load. Not safe for
// concurrent use.
type WindowBudget struct {
	// Ratio is how many repeats a request earns.
	Ratio float64
	// Extra is allowed in each window whatever the requests.
	Extra float64
	// Window is the length over which both are counted.
	Window time.Duration

	requests [budgetSlots]int
	repeats  [budgetSlots]int
	// start is the first call's time; slots are counted from it, so that a
	// jump of the time of day changes nothing.
	start time.Time
	slot  int64
}

// Request counts a request, sent or not.
func (b *WindowBudget) Request(now time.Time) {
	b.advance(now)
	b.requests[b.slot%budgetSlots]++
}

// Allow reports whether one more send may be made now, and counts it.
func (b *WindowBudget) Allow(now time.Time) bool {
	b.advance(now)
	requests, repeats := 0, 0
	for i := range budgetSlots {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}
	if float64(repeats+1) > b.Ratio*float64(requests)+b.Extra {
		return false
	}
	b.repeats[b.slot%budgetSlots]++
	return true
}

func (b *WindowBudget) advance(now time.Time) {
	if b.start.IsZero() {
		b.start = now
	}
	slot := int64(now.Sub(b.start)) / max(int64(b.Window)/budgetSlots, 1)
	if slot-b.slot >= budgetSlots {
		b.requests, b.repeats = [budgetSlots]int{}, [budgetSlots]int{}
		b.slot = slot
		return
	}
	for b.slot < slot {
		b.slot++
		b.requests[b.slot%budgetSlots] = 0
		b.repeats[b.slot%budgetSlots] = 0
	}
}
