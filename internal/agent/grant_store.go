package agent

import "time"

// grantStore indexes the grants of an agent by ID and by state. The
// dispatcher's lock guards it.
type grantStore struct {
	// byID holds all grants, finished ones until they are pruned.
	byID map[string]*grant
	// issued holds the grants that are not yet used, running those whose run
	// has started and not ended. Both are keyed by ticket ID.
	issued  map[string]*grant
	running map[string]*grant
	// finished holds the expired grants and those whose run has ended, oldest
	// first.
	finished []*grant
}

func newGrantStore() grantStore {
	return grantStore{
		byID:    make(map[string]*grant),
		issued:  make(map[string]*grant),
		running: make(map[string]*grant),
	}
}

func (gs *grantStore) addIssued(g *grant) {
	g.state = grantIssued
	gs.byID[g.id] = g
	gs.issued[g.ticketID] = g
}

func (gs *grantStore) markUsed(g *grant) {
	g.state = grantUsed
	delete(gs.issued, g.ticketID)
	gs.running[g.ticketID] = g
}

func (gs *grantStore) markExpired(now time.Time, g *grant) {
	g.state = grantExpired
	delete(gs.issued, g.ticketID)
	gs.retain(now, g)
}

func (gs *grantStore) markEnded(now time.Time, g *grant) {
	delete(gs.running, g.ticketID)
	gs.retain(now, g)
}

func (gs *grantStore) retain(now time.Time, g *grant) {
	g.endedAt = now
	gs.finished = append(gs.finished, g)
}

// prune removes the grants that finished before cutoff.
func (gs *grantStore) prune(cutoff time.Time) {
	n := 0
	for n < len(gs.finished) && gs.finished[n].endedAt.Before(cutoff) {
		delete(gs.byID, gs.finished[n].id)
		n++
	}
	gs.finished = gs.finished[n:]
}
