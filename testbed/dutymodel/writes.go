package dutymodel

// write numbers a transaction and adds the steps of sending it, within the bound on
// writes.
func (e *explorer) write(s *state, t transaction, action string) {
	if s.writeCount >= e.bounds.Writes {
		return
	}
	started := *s
	started.writeCount++
	t.writeID = started.writeCount
	e.sendWrite(&started, t, action)
}

// sendWrite adds the steps of sending a transaction: the response arrives, the response is
// lost, or the write is late.
func (e *explorer) sendWrite(s *state, t transaction, action string) {
	responded := *s
	if e.apply(&responded, t) && (s.store.era == t.era || !e.guards.EraOfResponse) {
		responded.acknowledge(t, e.guards)
	} else {
		responded.gateways[t.gateway].stepDown()
	}
	e.add(responded, "gateway %d %s", t.gateway, action)

	if !e.bounds.NoLostResponses {
		lost := *s
		e.apply(&lost, t)
		lost.gateways[t.gateway].unresolved = t
		e.add(lost, "gateway %d %s, the response is lost", t.gateway, action)
	}

	for i := range s.lateWrites {
		if s.lateWrites[i].writeID == 0 {
			late := *s
			late.lateWrites[i] = t
			late.gateways[t.gateway].unresolved = t
			e.add(late, "gateway %d %s, the write is late", t.gateway, action)
			break
		}
	}
}

// apply applies a transaction to the store. It returns false if the transaction's
// condition doesn't hold.
func (e *explorer) apply(s *state, t transaction) bool {
	row := &s.store.leases[t.row]
	if e.guards.ConditionalWrites && row.version != t.expectedVersion {
		return false
	}
	s.store.version++
	*row = leaseRow{version: s.store.version, token: t.token, writeID: t.writeID}
	switch {
	case t.window != 0:
		s.store.ledger = t.ledger
	case t.expectedVersion == 0 && e.guards.RowPerEra:
		for earlier := range t.row {
			s.store.leases[earlier].version = s.store.version
			s.store.leases[earlier].writeID = 0
		}
	}
	return true
}

// acknowledge updates a gateway's memory after its write has been applied.
func (s *state) acknowledge(t transaction, guards Guards) {
	g := &s.gateways[t.gateway]
	g.unresolved = transaction{}
	g.version = s.store.leases[t.row].version
	if t.window != 0 {
		g.finalize(t)
		return
	}
	g.holds, g.token, g.era = true, t.token, t.era
	g.ledger = s.recoverLedger(g, guards)
}

// stepDown makes a gateway give up the lease and forget any unresolved write.
func (g *gateway) stepDown() {
	g.holds, g.unresolved = false, transaction{}
	g.token, g.era, g.version, g.ledger = 0, 0, 0, ledger{}
}

// resolve adds the step in which a gateway reads the lease's row to find the outcome of a
// write without a response. If the row is unchanged, it sends the same write again.
func (e *explorer) resolve(s *state, id uint8) {
	t := s.gateways[id].unresolved
	row := s.store.leases[t.row]
	to := *s
	switch {
	case e.guards.EraOfResponse && s.store.era != t.era:
		to.gateways[id].stepDown()
		e.add(to, "gateway %d reads another era", id)
	case row.writeID == t.writeID:
		to.acknowledge(t, e.guards)
		e.add(to, "gateway %d reads its own write", id)
	case row.version != t.expectedVersion:
		to.gateways[id].stepDown()
		e.add(to, "gateway %d reads another write", id)
	default:
		e.sendWrite(&to, t, "sends the same write again")
	}
}
