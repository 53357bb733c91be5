package dutymodel

import (
	"fmt"

	"github.com/applepier/applepier/internal/lease"
)

// step is a state that follows, and what led to it.
type step struct {
	what string
	to   state
}

// Bounds bound what is explored.
type Bounds struct {
	// Gateways and Windows are how many there are, at most those of the model.
	Gateways, Windows int
	// Kills and Writes bound how often a gateway is killed and the store written.
	Kills  uint8
	Writes uint16
	// Copied has the store keep its copy before the first step, Answered has each answer
	// come that isn't late: both reach further.
	Copied, Answered bool
	// States ends the exploration; 0 for no bound.
	States int
}

// explorer lists the steps from a state.
type explorer struct {
	guards Guards
	bounds Bounds
	steps  []step
}

func (e *explorer) add(to state, what string, args ...any) {
	e.steps = append(e.steps, step{fmt.Sprintf(what, args...), to})
}

// from lists all steps from a state.
func (e *explorer) from(s *state) []step {
	e.steps = e.steps[:0]
	e.surroundings(s)
	for i := range s.gateways[:e.bounds.Gateways] {
		g := &s.gateways[i]
		switch {
		case g.open.write != 0:
			e.settle(s, uint8(i))
		case g.holds:
			e.act(s, uint8(i))
		default:
			e.elect(s, uint8(i))
		}
		e.kill(s, i)
	}
	e.land(s)
	return e.steps
}

// surroundings: time passes, the store keeps a copy, or returns from it.
func (e *explorer) surroundings(s *state) {
	if int(s.over) < e.bounds.Windows {
		to := *s
		to.over++
		e.add(to, "window %d is over", to.over)
	}
	if !s.store.copied {
		to := *s
		to.store.copied, to.store.older = true, s.store.contents
		e.add(to, "the store is copied")
	}
	if s.store.copied && !s.store.returned {
		to := *s
		to.store.contents, to.store.returned = s.store.older, true
		to.store.era++
		e.add(to, "the store returns from the copy, era %d", to.store.era)
	}
}

// kill has a process start again without its memory.
func (e *explorer) kill(s *state, i int) {
	if s.kills >= e.bounds.Kills || s.gateways[i] == (gateway{}) {
		return
	}
	to := *s
	to.gateways[i] = gateway{}
	to.kills++
	e.add(to, "gateway %d is killed and starts again", i)
}

// row is the lease's row of an era.
func (e *explorer) row(era uint64) uint8 {
	if !e.guards.EraRows {
		return 0
	}
	return uint8(era)
}

// elect has a gateway try to get the lease, at any time: what must hold doesn't depend on
// how long a lease lasts.
func (e *explorer) elect(s *state, by uint8) {
	era := s.store.era
	row := s.store.leases[e.row(era)]
	fenceEra := era
	if !e.guards.EraInFence {
		fenceEra = 0
	}
	e.write(s, transaction{by: by, row: e.row(era), expect: row.version, era: era, fence: lease.NextFence(row.fence, fenceEra)}, "campaigns")
}

// act has a holder fix the next report, or send one that is fixed.
func (e *explorer) act(s *state, by uint8) {
	g := &s.gateways[by]
	if window, due := g.ledger.product().Next(uint64(s.over)); due && window <= windows {
		to := *s
		to.contents++
		next := fromProduct(g.ledger.product().Finalize(report(window, to.contents)))
		t := transaction{by: by, row: e.row(g.era), expect: g.version, era: g.era, fence: g.fence, window: window, content: to.contents, ledger: next}
		if e.guards.WriteAhead {
			e.write(&to, t, fmt.Sprintf("fixes window %d", window))
		} else {
			to.gateways[by].finalize(t)
			e.add(to, "gateway %d counts window %d", by, window)
		}
	}
	for i, content := range g.ledger.pending {
		if content != 0 {
			e.send(s, call{by: by, fence: g.fence, window: uint8(i), content: content})
		}
	}
}

// finalize notes that a report is stored.
func (g *gateway) finalize(t transaction) {
	g.ledger = t.ledger
	g.own[t.window-1] = t.content
}

// land carries out calls that were late.
func (e *explorer) land(s *state) {
	for i, t := range s.late {
		if t.write == 0 {
			continue
		}
		to := *s
		to.late[i] = transaction{}
		e.carryOut(&to, t)
		e.add(to, "a late write of gateway %d is carried out", t.by)
	}
	for i, c := range s.calls {
		if c.content == 0 {
			continue
		}
		to := *s
		to.calls[i] = call{}
		to.take(c)
		e.add(to, "a late report of gateway %d is carried out", c.by)
	}
}
