package policy

import "time"

const (
	// budgetSlots is into how many parts a window is counted.
	budgetSlots = 20
	// budgetParts also has the part that the window's beginning falls in.
	budgetParts = budgetSlots + 1
)

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
	// Window is the length over which both are counted. It may change; what
	// was counted before then counts as if it came at that moment.
	Window time.Duration

	requests [budgetParts]int
	repeats  [budgetParts]int
	// start is the first call's time; slots are counted from it, so that a
	// jump of the time of day changes nothing.
	start time.Time
	slot  int64
	// counted is the Window that slot is counted with.
	counted time.Duration
}

// Request counts a request, sent or not.
func (b *WindowBudget) Request(now time.Time) {
	b.advance(now)
	b.requests[b.slot%budgetParts]++
}

// Allow reports whether one more send may be made now, and counts it.
func (b *WindowBudget) Allow(now time.Time) bool {
	b.advance(now)
	requests, repeats := 0, 0
	for i := range budgetParts {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}
	// The oldest part is in the window in part only: its repeats count and its
	// requests don't, so that no span of a window's length has too many.
	requests -= b.requests[(b.slot+1)%budgetParts]
	if float64(repeats+1) > b.Ratio*float64(requests)+b.Extra {
		return false
	}
	b.repeats[b.slot%budgetParts]++
	return true
}

func (b *WindowBudget) advance(now time.Time) {
	if b.start.IsZero() || b.counted != b.Window {
		b.restart(now)
	}
	slot := int64(now.Sub(b.start)) / max(int64(b.Window)/budgetSlots, 1)
	if slot-b.slot >= budgetParts {
		b.requests, b.repeats = [budgetParts]int{}, [budgetParts]int{}
		b.slot = slot
		return
	}
	for b.slot < slot {
		b.slot++
		b.requests[b.slot%budgetParts] = 0
		b.repeats[b.slot%budgetParts] = 0
	}
}

// restart begins to count with another Window.
func (b *WindowBudget) restart(now time.Time) {
	var requests, repeats [budgetParts]int
	for i := range budgetParts {
		requests[0] += b.requests[i]
		repeats[0] += b.repeats[i]
	}
	b.requests, b.repeats = requests, repeats
	b.start, b.slot, b.counted = now, 0, b.Window
}
