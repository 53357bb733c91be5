package policy

import (
	"math"
	"time"
)

// maxLateProbability is the probability of an urgent run being late above which a
// run is preempted: the top tier must be in time for 999 of 1,000 requests.
const maxLateProbability = 0.001

// minResumedRunTime is how long a resumed run is protected from another
// preemption, so that each resumption makes progress beyond prefilling its prompt
// again.
const minResumedRunTime = 2 * time.Second

// Preempt returns the ID of a less urgent run that the caller must cancel for a
// waiting urgent ticket. The caller repeats the call until it reports false. A
// cancelled run ends with Finished as usual, and its request is queued again through
// Resume.
//
// Preemption handles a burst of urgent requests on engines that are full of long
// responses: once the reserved slots are used up, waiting for a response to end
// takes longer than the whole target. A run is cancelled if the probability that
// another one ends in time is below 999 in 1,000, with run ends modeled as a
// Poisson process at the measured service rate. One is also cancelled when an
// urgent run is delayed inside the engine because the limit was too high. Only runs
// marked as preemptible are cancelled, and none that was granted under the
// starvation guarantee.
//
// With preemption the reserved slots can be lent to other runs in the meantime.
// Its cost is the slot time for prefilling the prompt again; the response
// continues where it was interrupted.
func (s *Scheduler) Preempt(now time.Time) (id string, ok bool) {
	s.advance(now)
	delayed := s.claimDelayedUrgentRun()
	if !delayed && !s.urgentTicketAtRisk(now) {
		return "", false
	}
	victim := s.running.preemptionVictim(now, delayed)
	if victim == nil {
		return "", false
	}
	s.running.markPreempted(victim)
	return victim.ticket.ID, true
}

// claimDelayedUrgentRun reports whether an urgent run is delayed inside the
// engine. It marks the run, so that each run is reported once.
func (s *Scheduler) claimDelayedUrgentRun() bool {
	for _, r := range s.running.awaitingFirstToken {
		if r.ticket.Tier <= lastUrgentTier && r.overdue && !r.preemptionAttempted {
			r.preemptionAttempted = true
			return true
		}
	}
	return false
}

// urgentTicketAtRisk reports whether the ticket that is next among those of the
// urgent tiers has waited for overflowDelay and is likely to be late.
func (s *Scheduler) urgentTicketAtRisk(now time.Time) bool {
	if s.running.notPreempted()+s.queue.urgentCount() <= s.limiter.limit {
		return false
	}
	for _, tier := range s.queue.tiers[:lastUrgentTier+1] {
		class := tier.next()
		if class == nil {
			continue
		}
		w := class.head()
		return now.Sub(w.ticket.Arrived) >= overflowDelay && s.likelyLate(now, w)
	}
	return false
}

// likelyLate reports whether w is likely to be late if it waits for a run to end.
func (s *Scheduler) likelyLate(now time.Time, w *queuedTicket) bool {
	if w.latestStart.IsZero() {
		return false
	}
	rate := s.serviceRate.throughput(s.limiter.limit)
	if rate <= 0 {
		return true
	}
	meanGap := s.serviceRate.meanSize / rate
	slack := w.latestStart.Sub(now).Seconds()
	return math.Exp(-slack/meanGap) > maxLateProbability
}

// preemptionVictim returns the run whose cancellation loses the least work: the
// newest of the least urgent tier; nil if none is preemptible. Runs granted under
// the guarantee are excluded, so that their classes are served. With
// streamingOnly set, it considers only runs that have produced a token: the others
// may wait inside the engine, where cancelling them frees no capacity.
func (r *activeRuns) preemptionVictim(now time.Time, streamingOnly bool) *run {
	var best *run
	for _, candidate := range r.byID {
		if !candidate.preemptible(now) || streamingOnly && candidate.lastToken.IsZero() {
			continue
		}
		if best == nil || cheaperToPreempt(candidate, best) {
			best = candidate
		}
	}
	return best
}

// preemptible reports whether the run may be cancelled for an urgent one.
func (r *run) preemptible(now time.Time) bool {
	if !r.ticket.Preemptible || r.ticket.Tier <= lastUrgentTier || r.guaranteed || r.preempted {
		return false
	}
	return !r.resumed || now.Sub(r.granted) >= minResumedRunTime
}

// cheaperToPreempt reports whether a is preempted before b: by tier, then by time
// of the grant, then by ID.
func cheaperToPreempt(a, b *run) bool {
	if a.ticket.Tier != b.ticket.Tier {
		return a.ticket.Tier > b.ticket.Tier
	}
	if !a.granted.Equal(b.granted) {
		return a.granted.After(b.granted)
	}
	return a.ticket.ID > b.ticket.ID
}
