package dutymodel

import (
	"fmt"

	"github.com/applepier/applepier/internal/lease"
)

// step is a successor state and a description of the action that leads to it.
type step struct {
	action string
	to     state
}

// Bounds limits an exploration.
type Bounds struct {
	// Gateways and Windows are the numbers of gateways and windows, at most 3 and 2.
	Gateways, Windows int
	// Kills and Writes bound the number of kills of gateways and of writes to the store.
	Kills  uint8
	Writes uint16
	// SnapshotAtStart takes the snapshot of the store before the first step.
	// NoLostResponses excludes lost responses and late reports. Both allow a greater depth.
	SnapshotAtStart, NoLostResponses bool
	// States bounds the number of visited states; 0 means no bound.
	States int
}

// explorer computes the steps from a state.
type explorer struct {
	guards Guards
	bounds Bounds
	steps  []step
}

// add adds a step to the state, described by a format and its arguments.
func (e *explorer) add(to state, format string, args ...any) {
	e.steps = append(e.steps, step{fmt.Sprintf(format, args...), to})
}

// successors returns all steps from a state. The slice is valid until the next call.
func (e *explorer) successors(s *state) []step {
	e.steps = e.steps[:0]
	e.environmentSteps(s)
	for i := range s.gateways[:e.bounds.Gateways] {
		g := &s.gateways[i]
		switch {
		case g.unresolved.writeID != 0:
			e.resolve(s, uint8(i))
		case g.holds:
			e.holderSteps(s, uint8(i))
		default:
			e.campaign(s, uint8(i))
		}
		e.kill(s, i)
	}
	e.deliverLate(s)
	return e.steps
}

// environmentSteps adds the steps outside the gateways: a window ends, a snapshot of
// the store is taken, or the store is restored from it.
func (e *explorer) environmentSteps(s *state) {
	if int(s.endedWindows) < e.bounds.Windows {
		to := *s
		to.endedWindows++
		e.add(to, "window %d ends", to.endedWindows)
	}
	if !s.store.hasSnapshot {
		to := *s
		to.store.hasSnapshot, to.store.snapshot = true, s.store.storeData
		e.add(to, "the store is copied")
	}
	if s.store.hasSnapshot && !s.store.restored {
		to := *s
		to.store.storeData, to.store.restored = s.store.snapshot, true
		to.store.era++
		e.add(to, "the store is restored from the copy, era %d", to.store.era)
	}
}

// kill adds the step in which a process is killed and restarts without its memory.
func (e *explorer) kill(s *state, i int) {
	if s.killCount >= e.bounds.Kills || s.gateways[i] == (gateway{}) {
		return
	}
	to := *s
	to.gateways[i] = gateway{}
	to.killCount++
	e.add(to, "gateway %d is killed and restarts", i)
}

// rowOf returns the index of the lease's row of an era.
func (e *explorer) rowOf(era uint64) uint8 {
	if !e.guards.RowPerEra {
		return 0
	}
	return uint8(era)
}

// campaign adds the steps in which a gateway tries to acquire the lease. It may do so at
// any time, because the invariants don't depend on the lease's duration.
func (e *explorer) campaign(s *state, id uint8) {
	era := s.store.era
	row := s.store.leases[e.rowOf(era)]
	tokenEra := era
	if !e.guards.EraInToken {
		tokenEra = 0
	}
	e.write(s, transaction{gateway: id, row: e.rowOf(era), expectedVersion: row.version, era: era, token: lease.NextFencingToken(row.token, tokenEra)}, "campaigns")
}

// holderSteps adds the steps in which the holder finalizes the next report or sends a
// finalized one.
func (e *explorer) holderSteps(s *state, id uint8) {
	g := &s.gateways[id]
	if window, due := g.ledger.toUsageLedger().NextWindow(uint64(s.endedWindows)); due && window <= windows {
		to := *s
		to.reportCount++
		next := fromUsageLedger(g.ledger.toUsageLedger().Finalize(newReport(window, to.reportCount)))
		t := transaction{gateway: id, row: e.rowOf(g.era), expectedVersion: g.version, era: g.era, token: g.token, window: window, content: to.reportCount, ledger: next}
		if e.guards.WriteAhead {
			e.write(&to, t, fmt.Sprintf("finalizes window %d", window))
		} else {
			to.gateways[id].finalize(t)
			e.add(to, "gateway %d finalizes window %d without a write", id, window)
		}
	}
	for i, content := range g.ledger.pending {
		if content != 0 {
			e.send(s, reportCall{gateway: id, token: g.token, window: uint8(i), content: content})
		}
	}
}

// finalize records in the gateway's memory that a report is final.
func (g *gateway) finalize(t transaction) {
	g.ledger = t.ledger
	g.ownReports[t.window-1] = t.content
}

// deliverLate adds the steps in which late writes and late reports take effect.
func (e *explorer) deliverLate(s *state) {
	for i, t := range s.lateWrites {
		if t.writeID == 0 {
			continue
		}
		to := *s
		to.lateWrites[i] = transaction{}
		e.apply(&to, t)
		e.add(to, "a late write of gateway %d takes effect", t.gateway)
	}
	for i, c := range s.lateReports {
		if c.content == 0 {
			continue
		}
		to := *s
		to.lateReports[i] = reportCall{}
		to.deliver(c)
		e.add(to, "a late report of gateway %d takes effect", c.gateway)
	}
}
