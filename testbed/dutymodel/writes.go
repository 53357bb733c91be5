package dutymodel

// write sends a transaction: it is done and answered, done without an answer, or late.
func (e *explorer) write(s *state, t transaction, what string) {
	if s.writes >= e.bounds.Writes {
		return
	}
	begun := *s
	begun.writes++
	t.write = begun.writes
	e.sendWrite(&begun, t, what)
}

func (e *explorer) sendWrite(s *state, t transaction, what string) {
	answered := *s
	if e.carryOut(&answered, t) && (s.store.era == t.era || !e.guards.EraOfAnswer) {
		answered.done(t, e.guards)
	} else {
		answered.gateways[t.by].lose()
	}
	e.add(answered, "gateway %d %s", t.by, what)

	if !e.bounds.Answered {
		lost := *s
		e.carryOut(&lost, t)
		lost.gateways[t.by].open = t
		e.add(lost, "gateway %d %s, the answer is lost", t.by, what)
	}

	for i := range s.late {
		if s.late[i].write == 0 {
			late := *s
			late.late[i] = t
			late.gateways[t.by].open = t
			e.add(late, "gateway %d %s, the write is late", t.by, what)
			break
		}
	}
}

// carryOut has the store do a transaction; false if its condition doesn't hold.
func (e *explorer) carryOut(s *state, t transaction) bool {
	row := &s.store.leases[t.row]
	if e.guards.Condition && row.version != t.expect {
		return false
	}
	s.store.version++
	*row = leaseRow{version: s.store.version, fence: t.fence, write: t.write}
	switch {
	case t.window != 0:
		s.store.ledger = t.ledger
	case t.expect == 0 && e.guards.EraRows:
		for earlier := range t.row {
			s.store.leases[earlier].version = s.store.version
			s.store.leases[earlier].write = 0
		}
	}
	return true
}

// done takes a write as carried out.
func (s *state) done(t transaction, guards Guards) {
	g := &s.gateways[t.by]
	g.open = transaction{}
	g.version = s.store.leases[t.row].version
	if t.window != 0 {
		g.finalize(t)
		return
	}
	g.holds, g.fence, g.era = true, t.fence, t.era
	g.ledger = s.recovered(g, guards)
}

// lose has a gateway know that it doesn't hold the lease.
func (g *gateway) lose() {
	g.holds, g.open = false, transaction{}
	g.fence, g.era, g.version, g.ledger = 0, 0, 0, ledger{}
}

// settle has a gateway find out what became of a write without an answer, and send it
// again as it was if the row is as before.
func (e *explorer) settle(s *state, by uint8) {
	t := s.gateways[by].open
	row := s.store.leases[t.row]
	to := *s
	switch {
	case e.guards.EraOfAnswer && s.store.era != t.era:
		to.gateways[by].lose()
		e.add(to, "gateway %d reads another era", by)
	case row.write == t.write:
		to.done(t, e.guards)
		e.add(to, "gateway %d reads its own write", by)
	case row.version != t.expect:
		to.gateways[by].lose()
		e.add(to, "gateway %d reads another write", by)
	default:
		e.sendWrite(&to, t, "writes the same again")
	}
}
