package policy

import "time"

const (
	// urgentTier is the last of the tiers that slots are kept back for.
	urgentTier Tier = 1
	// reserveShare is one slot in eight, and one at least.
	reserveShare = 1.0 / 8
	// overflowAfter is how long a top-tier ticket waits for a free slot
	// before it goes past the limit or has a run cancelled. Another engine
	// that holds a copy of it and has room answers within that time, which
	// is several round trips between zones.
	overflowAfter = 20 * time.Millisecond
)

// Urgent reports whether t is one of the tiers that slots are kept back for;
// connections that carry their tickets are watched most closely, and their
// bodies have memory of their own at the entry.
func (t Tier) Urgent() bool { return t <= urgentTier }

// reserveOf is how many slots are kept back.
func reserveOf(limit int) int {
	return max(1, int(float64(limit)*reserveShare))
}

// hasRoom reports whether a waiting ticket may start now.
//
// It answers an urgent request that meets an engine full of long answers: the
// next slot may be seconds away, longer than its whole target. One slot in
// eight, and one at least, is kept back from all but the two top tiers. These
// slots are lent to runs that may be cancelled, and called back by Preempt:
// left idle they cost a tenth of the goodput in a burst of a lower class.
// What the urgent tiers have used lately is not lent, since one run after the
// other would be cancelled.
//
// The top tier may go past the limit by as much as is kept back, so that
// other runs that can't be cancelled don't hold it up; engines honour
// priority, and a run too many slows the others by little.
func (s *Scheduler) hasRoom(now time.Time, w *waiting) bool {
	limit := s.limiter.limit
	running := len(s.running.byID)
	switch {
	case w.ticket.Tier == TopTier:
		return running < limit+s.overflow(now, w)
	case w.ticket.Tier <= urgentTier:
		return running < limit
	case w.ticket.Preemptible:
		return running < limit+s.limiter.trial() && s.running.lower < s.lowerSlots()
	default:
		return running < limit-reserveOf(limit) && s.running.lower < s.lowerSlots()
	}
}

// overflow is by how much a top-tier ticket may go past the limit.
func (s *Scheduler) overflow(now time.Time, w *waiting) int {
	if now.Sub(w.ticket.Arrived) < overflowAfter {
		return 0
	}
	return min(reserveOf(s.limiter.limit), len(s.running.byID)-s.running.top)
}

// lowerSlots is how many slots the tiers below the urgent ones may have.
func (s *Scheduler) lowerSlots() int {
	if s.limiter.probing {
		return s.limiter.limit + s.limiter.trial()
	}
	return max(1, s.limiter.limit-s.urgent.slots())
}

// slots is how many slots a tier finds when it may use all that it is let.
func (s *Scheduler) slots(t Tier) int {
	if t <= urgentTier {
		return s.limiter.limit
	}
	return s.lowerSlots()
}
