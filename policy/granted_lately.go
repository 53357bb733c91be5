package policy

import "time"

// grantedLately knows which classes were granted something within
// starvedAfter. Its size is bounded by the grants in that time.
type grantedLately struct {
	at    map[string]time.Time
	order []classGrant
}

// classGrant is one grant to a class.
type classGrant struct {
	class string
	at    time.Time
}

func newGrantedLately() grantedLately {
	return grantedLately{at: map[string]time.Time{}}
}

func (g *grantedLately) add(now time.Time, class string) {
	g.forget(now)
	if _, known := g.at[class]; !known {
		g.order = append(g.order, classGrant{class: class, at: now})
	}
	g.at[class] = now
}

func (g *grantedLately) has(now time.Time, class string) bool {
	g.forget(now)
	_, known := g.at[class]
	return known
}

// forget drops what is older than starvedAfter. Each class stands in order
// once: when its turn comes and it was granted again since, it goes to the
// end with the newer time.
func (g *grantedLately) forget(now time.Time) {
	for len(g.order) > 0 && now.Sub(g.order[0].at) >= starvedAfter {
		first := g.order[0]
		g.order = g.order[1:]
		at := g.at[first.class]
		if now.Sub(at) >= starvedAfter {
			delete(g.at, first.class)
			continue
		}
		g.order = append(g.order, classGrant{class: first.class, at: at})
	}
}
