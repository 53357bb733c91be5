package dutymodel

import (
	"github.com/applepier/applepier/internal/gateway/usage"
)

// customer is whose requests a report's number stands for.
const customer = "c"

// report is a report with a number for its contents; windows are numbered from 1.
func report(window uint64, content uint8) usage.Report {
	return usage.Report{Window: window, Counts: map[string]int64{customer: int64(content)}}
}

// product is the product's ledger.
func (l ledger) product() usage.Ledger {
	p := usage.Ledger{Era: l.era, Finalized: l.finalized}
	for i, content := range l.pending {
		if content != 0 {
			p.Pending = append(p.Pending, report(uint64(i+1), content))
		}
	}
	return p
}

func fromProduct(p usage.Ledger) ledger {
	l := ledger{found: true, era: p.Era, finalized: p.Finalized}
	for _, r := range p.Pending {
		l.pending[r.Window-1] = uint8(r.Counts[customer])
	}
	return l
}

// recovered is the ledger that a gateway goes on from once it holds the lease.
func (s *state) recovered(g *gateway, guards Guards) ledger {
	stored := s.store.ledger
	if !guards.Adopt {
		stored = ledger{}
	}
	m := usage.Memory{Era: s.store.era, Started: 1, Over: uint64(s.over)}
	if !guards.EraInLedger {
		m.Era = stored.era
	}
	for i, content := range g.own {
		if content != 0 {
			m.Own = append(m.Own, report(uint64(i+1), content))
		}
	}
	return fromProduct(usage.Recover(stored.product(), stored.found, m))
}
