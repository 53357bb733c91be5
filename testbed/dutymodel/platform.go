package dutymodel

import "fmt"

// A fencing token holds a counter in its lowest 40 bits and the store's era in the bits above.
const (
	eraShift    = 40
	counterMask = 1<<eraShift - 1
)

// send adds the steps of sending a report: the response arrives, the response is lost, or
// the report is late.
func (e *explorer) send(s *state, c reportCall) {
	to := *s
	if to.gateways[c.gateway].refusedToken == c.token {
		to.violation = fmt.Sprintf("gateway %d reports again with fencing token %d, with which it was refused", c.gateway, c.token)
	}
	responded := to
	if responded.deliver(c) {
		g := &responded.gateways[c.gateway]
		g.ledger = fromUsageLedger(g.ledger.toUsageLedger().Accept(uint64(c.window) + 1))
	} else {
		responded.gateways[c.gateway].refusedToken = c.token
		if e.guards.StepDown {
			responded.gateways[c.gateway].stepDown()
		}
	}
	e.add(responded, "gateway %d reports window %d with token %d", c.gateway, c.window+1, c.token)

	if e.bounds.NoLostResponses {
		return
	}
	lost := to
	lost.deliver(c)
	e.add(lost, "gateway %d reports window %d with token %d, the response is lost", c.gateway, c.window+1, c.token)
	for i := range s.lateReports {
		if s.lateReports[i] == c {
			break // the same report is late at most once
		}
		if s.lateReports[i].content == 0 {
			late := to
			late.lateReports[i] = c
			e.add(late, "gateway %d reports window %d with token %d, the report is late", c.gateway, c.window+1, c.token)
			break
		}
	}
}

// deliver makes the platform process a report. It returns false if the platform has seen
// a higher fencing token and refuses the report.
func (s *state) deliver(c reportCall) bool {
	era, count := c.token>>eraShift, c.token&counterMask
	if holder := &s.firstUsers[era][count]; *holder == 0 {
		*holder = c.gateway + 1
	} else if *holder != c.gateway+1 {
		s.violation = fmt.Sprintf("gateways %d and %d report with fencing token %d", *holder-1, c.gateway, c.token)
	}
	if c.token < s.highestToken {
		return false
	}
	s.highestToken = c.token
	if before := &s.accepted[c.window]; *before == 0 {
		*before = c.content
	} else if *before != c.content {
		s.violation = fmt.Sprintf("two different reports of window %d were accepted", c.window+1)
	}
	return true
}
