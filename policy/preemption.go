package policy

import (
	"math"
	"time"
)

// preemptRisk is the chance of a late urgent run that calls for a preemption:
// the top tier is to be on time in 999 of 1,000.
const preemptRisk = 0.001

// preemptProgress is how long a run that was resumed is left alone, so that
// each time it is started it gets on by more than the reading of its prompt.
const preemptProgress = 2 * time.Second

// Preempt names a lower-tier run to cancel for a waiting urgent ticket. It is
// called until it reports false; the cancelled runs end with Finished as
// usual, and their requests come back by Resume.
//
// It answers a burst of urgent requests that meets engines full of long answers:
// more of them than slots kept back would wait for an answer to end, which
// takes longer than their whole target. A run is cancelled when the chance
// that another one ends in time is below 999 in 1,000, taking ends as a
// Poisson process at the engine's true rate; and when an urgent run is held up
// inside the engine, since the limit was too high. Only runs that say so are
// cancelled, and none that the guarantee has granted.
//
// It lets the slots that are kept back be lent meanwhile. Its price is the slot time
// of reading the prompt again; the answer is resumed where it was cut.
func (s *Scheduler) Preempt(now time.Time) (id string, ok bool) {
	s.advance(now)
	stuck := s.urgentRunStuck()
	if !stuck && !s.urgentTicketLate(now) {
		return "", false
	}
	victim := s.running.preemptible(now, stuck)
	if victim == nil {
		return "", false
	}
	s.running.preempt(victim)
	return victim.ticket.ID, true
}

// urgentRunStuck reports, once for each such run, whether an urgent run is held
// up inside the engine.
func (s *Scheduler) urgentRunStuck() bool {
	for _, r := range s.running.pending {
		if r.ticket.Tier <= urgentTier && r.overdue && !r.helped {
			r.helped = true
			return true
		}
	}
	return false
}

// urgentTicketLate reports whether a ticket of the urgent tiers that waits is
// likely to be late.
func (s *Scheduler) urgentTicketLate(now time.Time) bool {
	if s.running.staying()+s.queue.urgent() <= s.limiter.limit {
		return false
	}
	for _, tier := range s.queue.tiers[:urgentTier+1] {
		class := tier.next()
		if class == nil {
			continue
		}
		w := class.head()
		return now.Sub(w.ticket.Arrived) >= overflowAfter && s.risky(now, w)
	}
	return false
}

// risky reports whether w is likely to be late if it waits for a run to end.
func (s *Scheduler) risky(now time.Time, w *waiting) bool {
	if w.startBy.IsZero() {
		return false
	}
	rate := s.rate.at(s.limiter.limit)
	if rate <= 0 {
		return true
	}
	gap := s.rate.meanSize / rate
	slack := w.startBy.Sub(now).Seconds()
	return math.Exp(-slack/gap) > preemptRisk
}

// preemptible is the run that loses least: the newest of the lowest tier. A
// guaranteed run is left alone, so that its class is served. With streaming
// only runs that give tokens count: others may wait inside the engine, where
// cancelling them makes no room.
func (r *running) preemptible(now time.Time, streaming bool) *run {
	var best *run
	for _, x := range r.byID {
		if !x.mayGiveWay(now) || streaming && x.lastToken.IsZero() {
			continue
		}
		if best == nil || losesLess(x, best) {
			best = x
		}
	}
	return best
}

// mayGiveWay reports whether a run may be cancelled for an urgent one.
func (r *run) mayGiveWay(now time.Time) bool {
	if !r.ticket.Preemptible || r.ticket.Tier <= urgentTier || r.guaranteed || r.preempted {
		return false
	}
	return !r.resumed || now.Sub(r.granted) >= preemptProgress
}

func losesLess(a, b *run) bool {
	if a.ticket.Tier != b.ticket.Tier {
		return a.ticket.Tier > b.ticket.Tier
	}
	if !a.granted.Equal(b.granted) {
		return a.granted.After(b.granted)
	}
	return a.ticket.ID > b.ticket.ID
}
