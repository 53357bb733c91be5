package policy

import "time"

// coldQueuePerSlot is how many tickets per slot an engine admits before its
// service rate is known: two rounds of runs. The rate becomes known when the
// first round ends, after the tickets of the second have waited for one round.
const coldQueuePerSlot = 2

// admit decides whether a ticket enters the queue.
//
// Admission control handles demand beyond capacity. Without it the queue would
// grow until every ticket misses its target and all work of the engine is late. A
// ticket is admitted if the work ahead of it, at the measured service rate,
// leaves it enough time. It is judged by the mean size of its class; see
// ClassSizes.
//
// The top tier is always admitted. So is one ticket of a class that has nothing
// waiting and no grant within starvedAfter, because every class must be served
// eventually; this ticket may be late.
func (s *Scheduler) admit(now time.Time, t Ticket) Decision {
	size := ticketSize(t)
	mean := s.classSizes.Mean(t.Class, size)
	s.classSizes.Observe(t.Class, size)
	latestStart := s.latestStart(now, t, int(mean))
	wait := s.estimateWait(now, t, mean/float64(size))
	guaranteed := s.guaranteedAdmission(now, t)
	if t.Tier != TopTier && !guaranteed {
		lateBy := lateness(now, latestStart, wait)
		if lateBy > 0 {
			return s.refuse(t, lateBy)
		}
	}
	return s.enqueue(now, newQueuedTicket(t, s.copyShare.expectedWork(t), latestStart, false), wait, guaranteed)
}

// lateness returns how far past its latest start a ticket would start after the
// wait, negative if it would start earlier; zero if it has no latest start.
func lateness(now, latestStart time.Time, wait time.Duration) time.Duration {
	if latestStart.IsZero() {
		return 0
	}
	return now.Add(wait).Sub(latestStart)
}

// guaranteedAdmission reports whether t is admitted whatever its wait, because
// its class has nothing waiting and no recent grant.
func (s *Scheduler) guaranteedAdmission(now time.Time, t Ticket) bool {
	return s.queue.tiers[t.Tier].onTimeClass(t.Class) == nil && !s.recentGrants.contains(now, t.Class)
}

const (
	// maxFirstTokenFraction and maxCompletionFraction limit the fraction of the
	// remaining time that is reserved for the run itself. Without a limit an
	// engine that was slow for a while would refuse everything and, with nothing
	// running, could never be observed to be fast again.
	maxFirstTokenFraction = 1.0 / 4
	maxCompletionFraction = 1.0 / 2
)

// latestStart returns when t must start on this engine: its deadline minus the
// estimated time from the start of the run to the milestone of the deadline, for
// a run of size tokens. It returns the zero time if t has no deadline.
func (s *Scheduler) latestStart(now time.Time, t Ticket, size int) time.Time {
	if t.Deadline.IsZero() {
		return time.Time{}
	}
	remaining := float64(t.Deadline.Sub(now))
	switch t.DeadlineMilestone {
	case MilestoneFirstToken:
		needed := float64(s.ttft.upperBound(size))
		return t.Deadline.Add(-time.Duration(min(needed, maxFirstTokenFraction*remaining)))
	case MilestoneCompletion:
		needed := float64(s.serviceRate.runTime(size))
		return t.Deadline.Add(-time.Duration(min(needed, maxCompletionFraction*remaining)))
	default:
		return t.Deadline
	}
}

// enqueue adds a ticket if the queue has room or another ticket can be displaced.
// A ticket with guaranteed admission may exceed the limit of the queue, which
// adds at most one ticket per class. A top-tier ticket may exceed it until the
// top tier alone fills the queue.
func (s *Scheduler) enqueue(now time.Time, w *queuedTicket, wait time.Duration, guaranteed bool) Decision {
	decision, t := Decision{Admitted: true}, w.ticket
	if s.queue.Len() >= maxQueuedTickets {
		id, ok := s.queue.displace(t, w.work)
		switch {
		case ok:
			decision.Displaced = []string{id}
		case guaranteed:
		case t.Tier == TopTier && s.queue.tiers[TopTier].count < maxQueuedTickets:
		default:
			decision = s.refuse(t, wait)
			decision.QueueFull = true
			return decision
		}
	}
	s.retryBacklog.refusals[t.Tier].observe(now, false)
	s.queue.push(now, w)
	return decision
}

// refuse returns the Decision that refuses t. baseDelay is the time after which a
// retry could succeed at the earliest: how late t would have started or, if the
// queue is full, its expected wait.
func (s *Scheduler) refuse(t Ticket, baseDelay time.Duration) Decision {
	s.retryBacklog.refusals[t.Tier].observe(s.lastCall, true)
	work := float64(ticketSize(t)) / float64(t.engineCount())
	retryAfter := s.retryBacklog.retryAfter(s.lastCall, t.Tier, work, baseDelay, s.tierRate(t.Tier))
	return Decision{RetryAfter: retryAfter}
}

// estimateWait returns the expected wait of t, with its size multiplied by scale.
func (s *Scheduler) estimateWait(now time.Time, t Ticket, scale float64) time.Duration {
	work := scale * s.copyShare.expectedWork(t)
	ahead := s.queuedWorkAbove(t.Tier) + s.queue.tiers[t.Tier].workAhead(t, work)
	return s.waitForSlot(now, t.Tier, ahead)
}

// queuedWorkAbove returns the queued work of all tiers more urgent than t, in
// tokens.
func (s *Scheduler) queuedWorkAbove(t Tier) float64 {
	sum := 0.0
	for _, tier := range s.queue.tiers[:t] {
		sum += tier.work
	}
	return sum
}

// waitForSlot returns the expected time until the engine has a free slot for a
// ticket of tier t with the given work ahead of it, in tokens.
func (s *Scheduler) waitForSlot(now time.Time, t Tier, ahead float64) time.Duration {
	free := s.slotsFor(t) - len(s.running.byID)
	if free > s.queue.Len() {
		return 0
	}
	if !s.serviceRate.known() {
		return s.coldWaitEstimate()
	}
	rate := s.serviceRate.discountStall(now, s.tierRate(t))
	if free <= 0 {
		ahead += s.serviceRate.meanSize
	}
	return secondsToDuration(ahead / rate)
}

// coldWaitEstimate returns the expected wait on an engine with unknown service
// rate: zero while few tickets wait, otherwise maxDuration, so that a ticket with
// a deadline is refused.
func (s *Scheduler) coldWaitEstimate() time.Duration {
	if s.queue.Len() < coldQueuePerSlot*s.limiter.limit {
		return 0
	}
	return maxDuration
}

// tierRate returns the rate, in tokens per second, at which the engine serves
// tier t and those below it: the service rate minus the demand of the more urgent
// tiers, but at least an equal part of the guaranteed share, which is divided
// among all starved classes.
func (s *Scheduler) tierRate(t Tier) float64 {
	rate := s.serviceRate.throughput(s.slotsFor(t))
	guaranteed := guaranteedShare * rate / float64(s.queue.starvedClasses(s.lastCall))
	return max(guaranteed, rate-s.demand.rateAbove(s.lastCall, t))
}
