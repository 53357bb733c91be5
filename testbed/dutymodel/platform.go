package dutymodel

import "fmt"

// eraBits and fenceMask take a fencing number apart, to index what is known of it.
const (
	eraBits   = 40
	fenceMask = 1<<eraBits - 1
)

// send sends a report: it is answered, its answer is lost, or it is late.
func (e *explorer) send(s *state, c call) {
	to := *s
	if to.gateways[c.by].refused == c.fence {
		to.broken = fmt.Sprintf("gateway %d calls again under generation %d, with which it was refused", c.by, c.fence)
	}
	answered := to
	if answered.take(c) {
		g := &answered.gateways[c.by]
		g.ledger = fromProduct(g.ledger.product().Accept(uint64(c.window) + 1))
	} else {
		answered.gateways[c.by].refused = c.fence
		if e.guards.StepDown {
			answered.gateways[c.by].lose()
		}
	}
	e.add(answered, "gateway %d reports window %d under %d", c.by, c.window+1, c.fence)

	if e.bounds.Answered {
		return
	}
	lost := to
	lost.take(c)
	e.add(lost, "gateway %d reports window %d under %d, the answer is lost", c.by, c.window+1, c.fence)
	for i := range s.calls {
		if s.calls[i] == c {
			break
		}
		if s.calls[i].content == 0 {
			late := to
			late.calls[i] = c
			e.add(late, "gateway %d reports window %d under %d, which is late", c.by, c.window+1, c.fence)
			break
		}
	}
}

// take has the platform carry a report out; false if a higher generation was seen.
func (s *state) take(c call) bool {
	era, count := c.fence>>eraBits, c.fence&fenceMask
	if holder := &s.holders[era][count]; *holder == 0 {
		*holder = c.by + 1
	} else if *holder != c.by+1 {
		s.broken = fmt.Sprintf("gateways %d and %d report under generation %d", *holder-1, c.by, c.fence)
	}
	if c.fence < s.highest {
		return false
	}
	s.highest = c.fence
	if before := &s.accepted[c.window]; *before == 0 {
		*before = c.content
	} else if *before != c.content {
		s.broken = fmt.Sprintf("two reports of window %d differ", c.window+1)
	}
	return true
}
