package policy

import (
	"math"
	"time"
)

// preemptRisk is the chance of a late urgent run that calls for a preemption:
// the top tier is to be on time in 999 of 1,000.
const preemptRisk = 0.001

// Preempt names a lower-tier run to cancel for a waiting top-tier ticket. It is
// called until it reports false; the cancelled runs end with Finished as
// usual, and their requests come back by Resume.
//
// It answers a burst of hazard flags that meets engines full of long answers:
// more flags than slots kept back would wait for an answer to end, which
// takes longer than their whole target. A run is cancelled when the chance
// that another one ends in time is below 999 in 1,000, taking ends as a
// Poisson process at the engine's true rate. Only runs that say so are
// cancelled, none twice, and none that the guarantee has granted.
func (s *Scheduler) Preempt(now time.Time) (id string, ok bool) {
	s.advance(now)
	top := s.queue.tiers[TopTier]
	class := top.next()
	if class == nil || s.running.staying()+top.count <= s.limiter.limit {
		return "", false
	}
	w := class.head()
	if now.Sub(w.ticket.Arrived) < overflowAfter || !s.risky(now, w) {
		return "", false
	}
	victim := s.running.preemptible()
	if victim == nil {
		return "", false
	}
	s.running.preempt(victim)
	return victim.ticket.ID, true
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
// guaranteed run is left alone, so that its class is served.
func (r *running) preemptible() *run {
	var best *run
	for _, x := range r.byID {
		if !x.ticket.Preemptible || x.ticket.Tier <= urgentTier || x.guaranteed || x.preempted {
			continue
		}
		if best == nil || losesLess(x, best) {
			best = x
		}
	}
	return best
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
