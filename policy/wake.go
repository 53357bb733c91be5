package policy

import "time"

// NextWake returns the time of the next decision that no other call triggers, and
// false if there is none. At that time the caller must call Expire, Preempt and
// Next.
func (s *Scheduler) NextWake(now time.Time) (time.Time, bool) {
	var wake earliest
	if len(s.queue.deadlines) > 0 {
		wake.add(s.queue.deadlines[0].expiresAt.Add(time.Nanosecond))
	}
	if due, ok := s.nextGuaranteedGrant(now); ok {
		wake.add(due)
	}
	if due, ok := s.nextOverflow(now); ok {
		wake.add(due)
	}
	if due, ok := s.nextDeferralEnd(now); ok {
		wake.add(due)
	}
	if due, ok := s.nextOverdue(); ok {
		wake.add(due)
	}
	return wake.at, !wake.at.IsZero()
}

// nextOverdue returns when the first token of the next urgent run becomes overdue,
// and false if no run waits for one.
func (s *Scheduler) nextOverdue() (time.Time, bool) {
	var first earliest
	for _, r := range s.running.awaitingFirstToken {
		bound := s.limiter.delayBound(r.ticket)
		if r.ticket.Tier <= lastUrgentTier && !r.overdue && bound > 0 {
			first.add(r.started.Add(bound + time.Nanosecond))
		}
	}
	return first.at, !first.at.IsZero()
}

// nextGuaranteedGrant returns when the starvation guarantee may grant a currently
// free slot to a class, and false if there is no such slot or class.
func (s *Scheduler) nextGuaranteedGrant(now time.Time) (time.Time, bool) {
	limit := s.limiter.limit
	class := s.queue.longestWaitingClass()
	if !s.guaranteeHasRoom() || class == nil || s.guarantee.running >= guaranteedSlots(limit) {
		return time.Time{}, false
	}
	due := class.waitingSince.Add(starvedAfter)
	if creditRestored := s.guarantee.creditRestoredAt(now, limit); creditRestored.After(due) {
		due = creditRestored
	}
	return due, true
}

// nextOverflow returns when the next waiting urgent ticket may exceed the
// concurrency limit or preempt a run, and false if none will.
func (s *Scheduler) nextOverflow(now time.Time) (time.Time, bool) {
	var first earliest
	for _, tier := range s.queue.tiers[:lastUrgentTier+1] {
		class := tier.next()
		if class == nil {
			continue
		}
		due := class.head().ticket.Arrived.Add(overflowDelay)
		if due.After(now) {
			first.add(due)
		}
	}
	return first.at, !first.at.IsZero()
}
