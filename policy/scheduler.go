package policy

import "time"

// Scheduler decides for one engine: what is let in, what waits, what runs
// next and how much runs at once. Its agent calls it under the agent's lock;
// it is not safe for concurrent use.
type Scheduler struct {
	queue     *Queue
	running   running
	limiter   limiter
	rate      serviceRate
	demand    demand
	promises  promises
	guarantee guarantee
	lately    grantedLately
	urgent    urgentUse
	first     firstTokenTime
	copies    copyShare
	sizes     ClassSizes
	// now is the time of the last call.
	now time.Time
}

// NewScheduler returns a Scheduler for an engine of which nothing is known.
func NewScheduler() *Scheduler {
	return &Scheduler{
		queue:   NewQueue(),
		running: newRunning(),
		limiter: newLimiter(),
		lately:  newGrantedLately(),
	}
}

// advance brings the accounts of time up to now.
func (s *Scheduler) advance(now time.Time) {
	if now.Before(s.now) {
		return
	}
	s.now = now
	s.guarantee.advance(now, s.limiter.limit)
	s.urgent.advance(now, s.running.urgent()+s.queue.urgent())
	s.countOverdue(now)
}

// countOverdue tells the limiter of runs whose first token is late.
func (s *Scheduler) countOverdue(now time.Time) {
	for _, r := range s.running.pending {
		if !r.overdue && s.limiter.delayed(r.ticket, now.Sub(r.started)) {
			r.overdue = true
			s.limiter.overdue(now, r)
		}
	}
}

// Offer takes a ticket in, or refuses it; a refused one is not run.
func (s *Scheduler) Offer(now time.Time, t Ticket) Decision {
	s.advance(now)
	t.Arrived = now
	return s.offer(now, t)
}

// Resume takes in a retry of a request that ran in part. It is never refused,
// whatever the estimate and the bound of the queue, since its caller holds a
// part of the answer; its order is that of its tier.
func (s *Scheduler) Resume(now time.Time, t Ticket) {
	s.advance(now)
	t.Arrived = now
	s.queue.push(now, newWaiting(t, s.copies.work(t), s.startBy(now, t, ticketSize(t)), true))
}

// Withdraw removes a waiting ticket and reports whether there was one.
func (s *Scheduler) Withdraw(id string) bool {
	w := s.queue.byID[id]
	if w == nil {
		return false
	}
	s.queue.remove(w)
	s.copies.observe(w.ticket, false)
	return true
}

// Next returns the ticket to grant now, if there is room for one. The ticket
// holds its slot until Finished.
func (s *Scheduler) Next(now time.Time) (Ticket, bool) {
	s.advance(now)
	class := s.queue.next()
	if class == nil {
		return Ticket{}, false
	}
	full := !s.hasRoom(now, class.head())
	if full {
		s.limiter.full(now)
	}
	if starved := s.starved(now); starved != nil && (full || starved != class) {
		return s.grant(now, starved, true), true
	}
	if full || !s.heldUntil(now, class.head()).IsZero() {
		return Ticket{}, false
	}
	return s.grant(now, class, false), true
}

// guaranteeRoom reports whether the guarantee may use a slot. It leaves those
// that are kept back to the urgent tiers while these don't use them.
func (s *Scheduler) guaranteeRoom() bool {
	limit := s.limiter.limit
	return len(s.running.byID) < limit && s.running.lower < limit-reserveOf(limit)
}

// starved is the class that the guarantee serves now, if any.
func (s *Scheduler) starved(now time.Time) *classQueue {
	if !s.guaranteeRoom() || !s.guarantee.allows(s.limiter.limit) {
		return nil
	}
	class := s.queue.longestWaiting()
	if class == nil || now.Sub(class.since) < starvedAfter {
		return nil
	}
	return class
}

func (s *Scheduler) grant(now time.Time, class *classQueue, guaranteed bool) Ticket {
	resumed := class.head().resumed
	t := s.queue.grant(now, class)
	s.copies.observe(t, true)
	s.running.add(&run{ticket: t, granted: now, guaranteed: guaranteed, resumed: resumed})
	s.lately.add(now, t.Class)
	if guaranteed {
		s.guarantee.running++
	} else {
		s.demand.add(now, t)
	}
	return t
}

// Started says that a grant was taken up.
func (s *Scheduler) Started(now time.Time, id string) {
	s.advance(now)
	r := s.running.byID[id]
	if r == nil || !r.started.IsZero() {
		return
	}
	s.running.start(now, r)
}

// Tokens says that n tokens came; the first call is the first token, after
// which there may be room for another run.
func (s *Scheduler) Tokens(now time.Time, id string, n int) {
	s.advance(now)
	r := s.running.byID[id]
	if r == nil || r.started.IsZero() {
		return
	}
	if r.lastToken.IsZero() {
		r.lastToken = now
		s.running.dropPending(r)
		s.first.observe(ticketSize(r.ticket), now.Sub(r.started))
		s.limiter.firstToken(now, r, len(s.running.pending))
		return
	}
	interval := r.tokens(now, n)
	if len(s.running.byID) <= s.limiter.limit+s.limiter.trial() {
		s.limiter.interval(now, r.ticket, interval)
	}
}

// Finished frees the slot of a granted ticket.
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
		s.limiter.ended()
	}
	if o == OutcomeWhole && !r.started.IsZero() {
		s.rate.observe(now, ticketSize(r.ticket), now.Sub(r.started))
	}
}

// Expire removes and returns the waiting tickets that can't meet their target
// any more; their callers are told at once that they were not run. NextWake
// says when to call it.
func (s *Scheduler) Expire(now time.Time) []string {
	s.advance(now)
	return s.queue.expire(now, func(class string) bool { return s.lately.has(now, class) })
}

// RetryAfter is the time to come back for a ticket of a tier that was
// displaced or has expired.
func (s *Scheduler) RetryAfter(now time.Time, tier Tier) time.Duration {
	s.advance(now)
	wait := s.waitFor(now, tier, s.workAbove(tier+1))
	return s.promises.next(now, tier, s.rate.meanSize, wait, s.rateFor(tier))
}

// Load describes the queue as of the last call.
func (s *Scheduler) Load() Load {
	load := Load{
		Waiting: s.queue.Len(),
		Running: len(s.running.byID),
		Limit:   s.limiter.limit,
	}
	for t := range load.EstimatedWait {
		load.EstimatedWait[t] = s.waitFor(s.now, Tier(t), s.workAbove(Tier(t)+1))
	}
	return load
}
