package policy

import "time"

// recentGrants tracks which classes were granted a ticket within the last starvedAfter. Its
// size is bounded by the number of grants in that time.
type recentGrants struct {
	// latest is the time of the last grant of each class, and order has one entry per
	// class, the oldest first.
	latest map[string]time.Time
	order  []classGrant
}

// classGrant is the time of a grant to a class.
type classGrant struct {
	class string
	at    time.Time
}

func newRecentGrants() recentGrants {
	return recentGrants{latest: map[string]time.Time{}}
}

// add records a grant to a class.
func (g *recentGrants) add(now time.Time, class string) {
	g.expire(now)
	if _, known := g.latest[class]; !known {
		g.order = append(g.order, classGrant{class: class, at: now})
	}
	g.latest[class] = now
}

// contains reports whether a class was granted a ticket within the last starvedAfter.
func (g *recentGrants) contains(now time.Time, class string) bool {
	g.expire(now)
	_, known := g.latest[class]
	return known
}

// expire drops grants older than starvedAfter. If a class was granted again since its entry was
// appended to order, the entry moves to the end with the time of the latest grant.
func (g *recentGrants) expire(now time.Time) {
	for len(g.order) > 0 && now.Sub(g.order[0].at) >= starvedAfter {
		oldest := g.order[0]
		g.order = g.order[1:]
		latest := g.latest[oldest.class]
		if now.Sub(latest) >= starvedAfter {
			delete(g.latest, oldest.class)
			continue
		}
		g.order = append(g.order, classGrant{class: oldest.class, at: latest})
	}
}
