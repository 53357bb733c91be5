package agent

import "time"

// grants holds the grants of an agent by what is done with them. The table's
// lock guards it.
type grants struct {
	// byID has every grant that is remembered.
	byID map[string]*grant
	// offered and used have those in that state, by ticket; used ones leave it
	// when their run ends.
	offered map[string]*grant
	used    map[string]*grant
	// over has those that lapsed or ended, oldest first.
	over []*grant
}

func newGrants() grants {
	return grants{
		byID:    make(map[string]*grant),
		offered: make(map[string]*grant),
		used:    make(map[string]*grant),
	}
}

func (gs *grants) offer(g *grant) {
	g.state = grantOffered
	gs.byID[g.id] = g
	gs.offered[g.ticketID] = g
}

func (gs *grants) use(g *grant) {
	g.state = grantUsed
	delete(gs.offered, g.ticketID)
	gs.used[g.ticketID] = g
}

func (gs *grants) lapse(now time.Time, g *grant) {
	g.state = grantLapsed
	delete(gs.offered, g.ticketID)
	gs.remember(now, g)
}

func (gs *grants) end(now time.Time, g *grant) {
	delete(gs.used, g.ticketID)
	gs.remember(now, g)
}

func (gs *grants) remember(now time.Time, g *grant) {
	g.ended = now
	gs.over = append(gs.over, g)
}

// forget drops the grants that were over before the given time.
func (gs *grants) forget(before time.Time) {
	n := 0
	for n < len(gs.over) && gs.over[n].ended.Before(before) {
		delete(gs.byID, gs.over[n].id)
		n++
	}
	gs.over = gs.over[n:]
}
