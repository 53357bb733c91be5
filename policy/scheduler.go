package policy

import "time"

// Scheduler decides for one engine which requests are admitted, in which order
// they run, and how many run concurrently. It isn't safe for concurrent use; the
// agent calls it while it holds its own lock.
type Scheduler struct {
	queue        *Queue
	running      activeRuns
	limiter      concurrencyLimiter
	serviceRate  serviceRate
	demand       tierDemand
	retryBacklog retryBacklog
	guarantee    guarantee
	recentGrants recentGrants
	urgentUsage  urgentUsage
	ttft         ttftEstimator
	copyShare    copyShare
	classSizes   ClassSizes
	// lastCall is the latest time passed to advance.
	lastCall time.Time
}

// NewScheduler returns a Scheduler for an engine without any measurements.
func NewScheduler() *Scheduler {
	return &Scheduler{
		queue:        NewQueue(),
		running:      newActiveRuns(),
		limiter:      newConcurrencyLimiter(),
		recentGrants: newRecentGrants(),
	}
}

// advance updates all time-based accounting to now; earlier times are ignored.
func (s *Scheduler) advance(now time.Time) {
	if now.Before(s.lastCall) {
		return
	}
	s.lastCall = now
	s.guarantee.advance(now, s.limiter.limit)
	s.urgentUsage.advance(now, s.running.urgentCount()+s.queue.urgentCount())
	s.reportOverdueRuns(now)
}

// reportOverdueRuns reports to the limiter, once for each, the runs whose first
// token is overdue.
func (s *Scheduler) reportOverdueRuns(now time.Time) {
	for _, r := range s.running.awaitingFirstToken {
		if !r.overdue && s.limiter.delayed(r.ticket, now.Sub(r.started)) {
			r.overdue = true
			s.limiter.observeOverdue(now, r)
		}
	}
}

// Offer admits or refuses a ticket; a refused ticket is never run.
func (s *Scheduler) Offer(now time.Time, t Ticket) Decision {
	s.advance(now)
	t.Arrived = now
	return s.admit(now, t)
}

// Resume queues a retry of a request that was partially executed. It is never
// refused, whatever the estimated wait and the length of the queue, because its
// caller already has a part of the response. It is ordered by its tier.
func (s *Scheduler) Resume(now time.Time, t Ticket) {
	s.advance(now)
	t.Arrived = now
	s.queue.push(now, newQueuedTicket(t, s.copyShare.expectedWork(t), s.latestStart(now, t, ticketSize(t)), true))
}

// Withdraw removes a waiting ticket and reports whether it was present.
func (s *Scheduler) Withdraw(id string) bool {
	w := s.queue.byID[id]
	if w == nil {
		return false
	}
	s.queue.remove(w)
	s.copyShare.observe(w.ticket, false)
	return true
}

// Next grants a slot to the next ticket and returns it; it reports false if no
// ticket may start now. The ticket holds its slot until Finished.
func (s *Scheduler) Next(now time.Time) (Ticket, bool) {
	s.advance(now)
	class := s.queue.next()
	if class == nil {
		return Ticket{}, false
	}
	full := !s.canStart(now, class.head())
	if full {
		s.limiter.observeSlotsExhausted(now)
	}
	if starved := s.starvedClass(now); starved != nil && (full || starved != class) {
		return s.grant(now, starved, true), true
	}
	if full || !s.deferredUntil(now, class.head()).IsZero() {
		return Ticket{}, false
	}
	return s.grant(now, class, false), true
}

// guaranteeHasRoom reports whether a slot is available to the starvation
// guarantee. The slots reserved for the urgent tiers aren't, even if they are
// free.
func (s *Scheduler) guaranteeHasRoom() bool {
	limit := s.limiter.limit
	return len(s.running.byID) < limit && s.running.nonUrgent < limit-reservedSlots(limit)
}

// starvedClass returns the class that the starvation guarantee serves now; nil if
// there is none.
func (s *Scheduler) starvedClass(now time.Time) *classQueue {
	if !s.guaranteeHasRoom() || !s.guarantee.canGrant(s.limiter.limit) {
		return nil
	}
	class := s.queue.longestWaitingClass()
	if class == nil || now.Sub(class.waitingSince) < starvedAfter {
		return nil
	}
	return class
}

// grant moves the first ticket of a class to the active runs.
func (s *Scheduler) grant(now time.Time, class *classQueue, guaranteed bool) Ticket {
	resumed := class.head().resumed
	t := s.queue.grant(now, class)
	s.copyShare.observe(t, true)
	s.running.add(&run{ticket: t, granted: now, guaranteed: guaranteed, resumed: resumed})
	s.recentGrants.add(now, t.Class)
	if guaranteed {
		s.guarantee.running++
	} else {
		s.demand.add(now, t)
	}
	return t
}

// Started records that a granted ticket has started to run. Unknown IDs and
// repeated calls are ignored.
func (s *Scheduler) Started(now time.Time, id string) {
	s.advance(now)
	r := s.running.byID[id]
	if r == nil || !r.started.IsZero() {
		return
	}
	s.running.markStarted(now, r)
}

// Tokens records the arrival of n tokens. The first call reports the first token,
// after which a slot may be free for another run.
func (s *Scheduler) Tokens(now time.Time, id string, n int) {
	s.advance(now)
	r := s.running.byID[id]
	if r == nil || r.started.IsZero() {
		return
	}
	if r.lastToken.IsZero() {
		r.lastToken = now
		s.running.removeAwaiting(r)
		s.ttft.observe(ticketSize(r.ticket), now.Sub(r.started))
		s.limiter.observeFirstToken(now, r, len(s.running.awaitingFirstToken))
		return
	}
	interval := r.observeTokens(now, n)
	if len(s.running.byID) <= s.limiter.limit+s.limiter.probeSlots() {
		s.limiter.observeInterval(now, r.ticket, interval)
	}
}

// Finished frees the slot of a granted ticket. Unknown IDs are ignored.
func (s *Scheduler) Finished(now time.Time, id string, o Outcome) {
	s.advance(now)
	r := s.running.byID[id]
	if r == nil {
		return
	}
	s.running.remove(r)
	if r.guaranteed {
		s.guarantee.running--
	}
	if !r.lastToken.IsZero() {
		s.limiter.observeStreamEnd()
	}
	if o == OutcomeComplete && !r.started.IsZero() {
		s.serviceRate.observe(now, ticketSize(r.ticket), now.Sub(r.started))
	}
}

// Expire removes the waiting tickets that can no longer meet their target and
// returns their IDs. Their callers must be told at once that the requests were
// not run. NextWake returns when to call it.
func (s *Scheduler) Expire(now time.Time) []string {
	s.advance(now)
	return s.queue.expire(now, func(class string) bool { return s.recentGrants.contains(now, class) })
}

// RetryAfter returns the time after which a caller whose ticket was displaced or
// has expired should retry. Call it once for each such ticket: it adds a run of
// mean size to the work that callers are expected to retry.
func (s *Scheduler) RetryAfter(now time.Time, tier Tier) time.Duration {
	s.advance(now)
	wait := s.waitForSlot(now, tier, s.queuedWorkAbove(tier+1))
	return s.retryBacklog.retryAfter(now, tier, s.serviceRate.meanSize, wait, s.tierRate(tier))
}

// Load returns the state of the queue as of the last call.
func (s *Scheduler) Load() Load {
	load := Load{
		Waiting: s.queue.Len(),
		Running: len(s.running.byID),
		Limit:   s.limiter.limit,
	}
	for t := range load.EstimatedWait {
		load.EstimatedWait[t] = s.waitForSlot(s.lastCall, Tier(t), s.queuedWorkAbove(Tier(t)+1))
	}
	return load
}
