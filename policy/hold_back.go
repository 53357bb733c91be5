package policy

import "time"

const (
	// holdRisky is how long an engine that may be too slow leaves a ticket to
	// the other engines that hold it: several round trips between zones, in
	// which one that has a slot free answers.
	holdRisky = overflowAfter
	// holdHopeless is the same for an engine that is usually too slow: one of
	// the others that has no slot goes past its limit after overflowAfter, or
	// has a run end or cancelled soon after.
	holdHopeless = 5 * overflowAfter
)

// heldUntil is until when w is left to the other engines that hold a copy of
// it; zero when it may be granted now.
//
// It answers a straggler that is idle, and so grants before all others: each
// urgent ticket that it wins is late. Such an engine waits for a moment. If
// none of the others has granted the ticket by then, it is granted here: the
// engine stays in use, and is seen to be fast again. While its usual time to
// the first token still fits, the wait ends in time for it. Nothing is held
// back for a request that asks only this engine, that is late already, or
// that has run in part before.
func (s *Scheduler) heldUntil(now time.Time, w *waiting) time.Time {
	t := w.ticket
	if w.resumed || t.asks() < 2 || t.Due != MilestoneFirstToken || t.Deadline.IsZero() {
		return time.Time{}
	}
	late := !now.Before(t.Deadline)
	safe := !now.Add(s.first.of(ticketSize(t))).After(t.Deadline)
	if late || safe {
		return time.Time{}
	}
	until := s.holdEnd(t)
	if !now.Before(until) {
		return time.Time{}
	}
	return until
}

// holdEnd is when t, which may be late here, is held back no longer.
func (s *Scheduler) holdEnd(t Ticket) time.Time {
	usual := t.Deadline.Add(-s.first.usual(ticketSize(t)))
	if !t.Arrived.Before(usual) {
		return t.Arrived.Add(holdHopeless)
	}
	var end earliest
	end.add(usual)
	end.add(t.Arrived.Add(holdRisky))
	return end.at
}

// holdDue is when the ticket that is next may be granted although others are
// likely to be faster.
func (s *Scheduler) holdDue(now time.Time) (time.Time, bool) {
	class := s.queue.next()
	if class == nil {
		return time.Time{}, false
	}
	until := s.heldUntil(now, class.head())
	return until, !until.IsZero()
}
