package policy

import "time"

// coldWaiting is how many tickets an engine that was never seen busy takes
// per slot: two rounds of runs. Nothing is known of its rate, and a wait of
// one round is seen at its end.
const coldWaiting = 2

// offer decides whether a ticket is admitted.
//
// It answers demand beyond capacity: without it the queue grows until every
// ticket waits past its target and all of the engine's work is late. A ticket
// is admitted when the work before it, at the engine's true rate, leaves it in
// time. It is judged by the mean size of its class; see ClassSizes. The top
// tier is admitted whatever the estimate. So is one ticket of a class that has
// nothing waiting and got nothing for starvedAfter, since each class is to be
// served eventually; it may be late.
func (s *Scheduler) offer(now time.Time, t Ticket) Decision {
	size := ticketSize(t)
	mean := s.sizes.Mean(t.Class, size)
	s.sizes.Observe(t.Class, size)
	startBy := s.startBy(now, t, int(mean))
	wait := s.estimate(now, t, mean/float64(size))
	owed := s.owed(now, t)
	if t.Tier != TopTier && !owed {
		late := lateness(now, startBy, wait)
		if late > 0 {
			return s.refuse(t, late)
		}
	}
	return s.enqueue(now, newWaiting(t, s.copies.work(t), startBy, false), wait, owed)
}

// lateness is by how much a ticket would start too late after a wait.
func lateness(now, startBy time.Time, wait time.Duration) time.Duration {
	if startBy.IsZero() {
		return 0
	}
	return now.Add(wait).Sub(startBy)
}

// owed reports whether t's class is to get a ticket in whatever the wait.
func (s *Scheduler) owed(now time.Time, t Ticket) bool {
	return s.queue.tiers[t.Tier].class(t.Class) == nil && !s.lately.has(now, t.Class)
}

const (
	// firstTokenPart and completionPart are the largest parts of the time
	// left that are set aside for the run itself. Without a bound an engine
	// that was slow for a while would refuse all, and with nothing running
	// it would never be seen to be fast again.
	firstTokenPart = 1.0 / 4
	completionPart = 1.0 / 2
)

// startBy is when t must start here: its deadline, less the time that this
// engine takes for a run of a size from the start to what the deadline is for.
func (s *Scheduler) startBy(now time.Time, t Ticket, size int) time.Time {
	if t.Deadline.IsZero() {
		return time.Time{}
	}
	left := float64(t.Deadline.Sub(now))
	switch t.Due {
	case MilestoneFirstToken:
		needed := float64(s.first.of(size))
		return t.Deadline.Add(-time.Duration(min(needed, firstTokenPart*left)))
	case MilestoneCompletion:
		needed := float64(s.rate.runTime(size))
		return t.Deadline.Add(-time.Duration(min(needed, completionPart*left)))
	default:
		return t.Deadline
	}
}

// enqueue takes t in if the bounded queue has room or something gives way.
// What is owed goes past the bound if need be: that is one ticket of each
// class at most. So does the top tier while the queue is not full of its own.
func (s *Scheduler) enqueue(now time.Time, w *waiting, wait time.Duration, owed bool) Decision {
	decision, t := Decision{Admitted: true}, w.ticket
	if s.queue.Len() >= maxWaiting {
		id, ok := s.queue.displace(t, w.work)
		switch {
		case ok:
			decision.Displaced = []string{id}
		case owed:
		case t.Tier == TopTier && s.queue.tiers[TopTier].count < maxWaiting:
		default:
			decision = s.refuse(t, wait)
			decision.Full = true
			return decision
		}
	}
	s.promises.refused[t.Tier].observe(now, false)
	s.queue.push(now, w)
	return decision
}

// refuse turns t away; late is how much earlier it would have had to come.
func (s *Scheduler) refuse(t Ticket, late time.Duration) Decision {
	s.promises.refused[t.Tier].observe(s.now, true)
	work := float64(ticketSize(t)) / float64(t.asks())
	hint := s.promises.next(s.now, t.Tier, work, late, s.rateFor(t.Tier))
	return Decision{RetryAfter: hint}
}

// estimate is how long t would wait if its size were scaled.
func (s *Scheduler) estimate(now time.Time, t Ticket, scale float64) time.Duration {
	work := scale * s.copies.work(t)
	ahead := s.workAbove(t.Tier) + s.queue.tiers[t.Tier].workAhead(t, work)
	return s.waitFor(now, t.Tier, ahead)
}

func (s *Scheduler) workAbove(t Tier) float64 {
	sum := 0.0
	for _, tier := range s.queue.tiers[:t] {
		sum += tier.work
	}
	return sum
}

// waitFor is how long it takes until the engine has room for a ticket of a
// tier after the work ahead of it.
func (s *Scheduler) waitFor(now time.Time, t Tier, ahead float64) time.Duration {
	free := s.slots(t) - len(s.running.byID)
	if free > s.queue.Len() {
		return 0
	}
	if !s.rate.known() {
		return s.coldWait()
	}
	rate := s.rate.stalled(now, s.rateFor(t))
	if free <= 0 {
		ahead += s.rate.meanSize
	}
	return seconds(ahead / rate)
}

// coldWait is the estimate for an engine that was never seen busy: none while
// few wait, and no hope beyond that.
func (s *Scheduler) coldWait() time.Duration {
	if s.queue.Len() < coldWaiting*s.limiter.limit {
		return 0
	}
	return longest
}

// rateFor is the work per second that the engine does for a tier and those
// below it: what the more urgent tiers leave of the true rate, and at least a
// part in the guaranteed share, which all starved classes divide.
func (s *Scheduler) rateFor(t Tier) float64 {
	rate := s.rate.at(s.slots(t))
	guaranteed := guaranteedShare * rate / float64(s.queue.starved(s.now))
	return max(guaranteed, rate-s.demand.above(s.now, t))
}
