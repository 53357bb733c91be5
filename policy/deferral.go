package policy

import "time"

const (
	// atRiskDeferral is how long an engine that might miss the deadline leaves a ticket to the
	// other engines that hold it. This is several round trips between availability zones, in
	// which an engine with a free slot answers.
	atRiskDeferral = overflowDelay
	// likelyLateDeferral is the same for an engine that usually misses the deadline. Another
	// engine without a free slot exceeds its limit after overflowDelay, or has a run that ends
	// or is cancelled soon after.
	likelyLateDeferral = 5 * overflowDelay
)

// deferredUntil returns the time until which w is left to the other engines that hold a copy
// of it; zero if it may be granted now.
//
// It guards against an idle straggler, which grants before all other engines and delays every
// urgent ticket that it wins. Such an engine defers its grant for a moment. If no other engine
// has granted the ticket by then, it is granted here, so that the engine stays in use and its
// recovery is noticed. As long as its usual time to first token still meets the deadline, the
// deferral ends early enough for that. Requests that are queued only at this engine, are
// already late, or were partially executed before aren't deferred.
func (s *Scheduler) deferredUntil(now time.Time, w *queuedTicket) time.Time {
	t := w.ticket
	if w.resumed || t.engineCount() < 2 || t.DeadlineMilestone != MilestoneFirstToken || t.Deadline.IsZero() {
		return time.Time{}
	}
	late := !now.Before(t.Deadline)
	safe := !now.Add(s.ttft.upperBound(ticketSize(t))).After(t.Deadline)
	if late || safe {
		return time.Time{}
	}
	until := s.deferralEnd(t)
	if !now.Before(until) {
		return time.Time{}
	}
	return until
}

// deferralEnd returns when the deferral of t, which might be late here, ends.
func (s *Scheduler) deferralEnd(t Ticket) time.Time {
	latestStart := t.Deadline.Add(-s.ttft.expected(ticketSize(t)))
	if !t.Arrived.Before(latestStart) {
		return t.Arrived.Add(likelyLateDeferral)
	}
	var end earliest
	end.add(latestStart)
	end.add(t.Arrived.Add(atRiskDeferral))
	return end.at
}

// nextDeferralEnd returns when the deferral of the next ticket in the queue ends, and false if
// that ticket isn't deferred.
func (s *Scheduler) nextDeferralEnd(now time.Time) (time.Time, bool) {
	class := s.queue.next()
	if class == nil {
		return time.Time{}, false
	}
	until := s.deferredUntil(now, class.head())
	return until, !until.IsZero()
}
