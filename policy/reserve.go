package policy

import "time"

const (
	// lastUrgentTier is the least urgent tier that slots are reserved for.
	lastUrgentTier Tier = 1
	// reservedShare is the share of the slots that is reserved; at least one slot is.
	reservedShare = 1.0 / 8
	// overflowDelay is how long an urgent ticket waits for a free slot before a run may be
	// preempted for it or, in the top tier, it may exceed the limit. Another engine that holds
	// a copy of the ticket and has a free slot answers within that time, which is several round
	// trips between availability zones.
	overflowDelay = 20 * time.Millisecond
)

// Urgent reports whether slots are reserved for the tier. Connections that carry its tickets
// are monitored most closely, and its request bodies have a memory budget of their own at the
// entry.
func (t Tier) Urgent() bool { return t <= lastUrgentTier }

// reservedSlots returns how many slots of a limit are reserved for the urgent tiers.
func reservedSlots(limit int) int {
	return max(1, int(float64(limit)*reservedShare))
}

// canStart reports whether a waiting ticket may start now.
//
// It guards against an urgent request that arrives when an engine is full of long responses:
// the next slot may become free only after seconds, later than the request's whole target. One
// slot in eight, and at least one, is reserved for the two top tiers. Preemptible runs may use
// these slots until Preempt takes them back: left idle, they cost a tenth of the goodput in a
// burst of a lower class. Preemptible runs don't get slots that the urgent tiers have used
// recently, since one run after another would be cancelled.
//
// The top tier may exceed the limit by the number of reserved slots, so that runs of other
// tiers that can't be cancelled don't delay it. Engines honor priority, and one run too many
// slows the others only a little.
func (s *Scheduler) canStart(now time.Time, w *queuedTicket) bool {
	limit := s.limiter.limit
	running := len(s.running.byID)
	switch {
	case w.ticket.Tier == TopTier:
		return running < limit+s.overflowSlots(now, w)
	case w.ticket.Tier <= lastUrgentTier:
		return running < limit
	case w.ticket.Preemptible:
		return running < limit+s.limiter.probeSlots() && s.running.nonUrgent < s.lowerTierSlots()
	default:
		return running < limit-reservedSlots(limit) && s.running.nonUrgent < s.lowerTierSlots()
	}
}

// overflowSlots returns the number of slots above the limit that a top-tier ticket may use.
func (s *Scheduler) overflowSlots(now time.Time, w *queuedTicket) int {
	if now.Sub(w.ticket.Arrived) < overflowDelay {
		return 0
	}
	return min(reservedSlots(s.limiter.limit), len(s.running.byID)-s.running.topTier)
}

// lowerTierSlots returns how many slots the tiers below the urgent ones may use.
func (s *Scheduler) lowerTierSlots() int {
	if s.limiter.probing {
		return s.limiter.limit + s.limiter.probeSlots()
	}
	return max(1, s.limiter.limit-s.urgentUsage.reserved())
}

// slotsFor returns the maximum number of concurrent runs of a tier.
func (s *Scheduler) slotsFor(t Tier) int {
	if t <= lastUrgentTier {
		return s.limiter.limit
	}
	return s.lowerTierSlots()
}
