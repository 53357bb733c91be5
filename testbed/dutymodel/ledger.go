package dutymodel

import (
	"github.com/applepier/applepier/internal/gateway/usage"
)

// customer is the customer whose request count stands for a report's content number.
const customer = "c"

// newReport returns a report of a window, numbered from 1, with the content number as its counts.
func newReport(window uint64, content uint8) usage.Report {
	return usage.Report{Window: window, Counts: map[string]int64{customer: int64(content)}}
}

// toUsageLedger converts the ledger to the production type.
func (l ledger) toUsageLedger() usage.Ledger {
	p := usage.Ledger{Era: l.era, Finalized: l.finalized}
	for i, content := range l.pending {
		if content != 0 {
			p.Pending = append(p.Pending, newReport(uint64(i+1), content))
		}
	}
	return p
}

// fromUsageLedger converts a production ledger to the model's type.
func fromUsageLedger(p usage.Ledger) ledger {
	l := ledger{found: true, era: p.Era, finalized: p.Finalized}
	for _, r := range p.Pending {
		l.pending[r.Window-1] = uint8(r.Counts[customer])
	}
	return l
}

// recoverLedger returns the ledger from which a gateway continues once it holds the lease.
func (s *state) recoverLedger(g *gateway, guards Guards) ledger {
	stored := s.store.ledger
	if !guards.AdoptLedger {
		stored = ledger{}
	}
	local := usage.LocalState{Era: s.store.era, StartWindow: 1, LastClosedWindow: uint64(s.endedWindows)}
	if !guards.EraInLedger {
		local.Era = stored.era
	}
	for i, content := range g.ownReports {
		if content != 0 {
			local.OwnReports = append(local.OwnReports, newReport(uint64(i+1), content))
		}
	}
	return fromUsageLedger(usage.RecoverLedger(stored.toUsageLedger(), stored.found, local))
}
