package policy

import "time"

// NextWake says when a decision is due that no other call brings about: then
// Expire, Preempt and Next are to be called.
func (s *Scheduler) NextWake(now time.Time) (time.Time, bool) {
	var wake earliest
	if len(s.queue.deadlines) > 0 {
		wake.add(s.queue.deadlines[0].due.Add(time.Nanosecond))
	}
	if due, ok := s.guaranteeDue(now); ok {
		wake.add(due)
	}
	if due, ok := s.overflowDue(now); ok {
		wake.add(due)
	}
	if due, ok := s.holdDue(now); ok {
		wake.add(due)
	}
	if due, ok := s.overdueAt(); ok {
		wake.add(due)
	}
	return wake.at, !wake.at.IsZero()
}

// overdueAt is when the first of the urgent runs without a first token is
// late inside the engine.
func (s *Scheduler) overdueAt() (time.Time, bool) {
	var first earliest
	for _, r := range s.running.pending {
		bound := s.limiter.delayBound(r.ticket)
		if r.ticket.Tier <= urgentTier && !r.overdue && bound > 0 {
			first.add(r.started.Add(bound + time.Nanosecond))
		}
	}
	return first.at, !first.at.IsZero()
}

// guaranteeDue is when the guarantee will serve a class out of a slot that is
// free now.
func (s *Scheduler) guaranteeDue(now time.Time) (time.Time, bool) {
	limit := s.limiter.limit
	class := s.queue.longestWaiting()
	if !s.guaranteeRoom() || class == nil || s.guarantee.running >= guaranteedSlots(limit) {
		return time.Time{}, false
	}
	due := class.since.Add(starvedAfter)
	if credit := s.guarantee.due(now, limit); credit.After(due) {
		due = credit
	}
	return due, true
}

// overflowDue is when the next urgent ticket may go past the limit, or have a
// run cancelled.
func (s *Scheduler) overflowDue(now time.Time) (time.Time, bool) {
	var first earliest
	for _, tier := range s.queue.tiers[:urgentTier+1] {
		class := tier.next()
		if class == nil {
			continue
		}
		due := class.head().ticket.Arrived.Add(overflowAfter)
		if due.After(now) {
			first.add(due)
		}
	}
	return first.at, !first.at.IsZero()
}
