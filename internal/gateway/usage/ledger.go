package usage

import "slices"

// mostPending bounds the reports that wait for the platform: those of a minute.
const mostPending = 12

// Ledger is what has been reported, as it is stored under the lease. Its methods decide
// what may be reported; they return a changed copy.
type Ledger struct {
	_ struct{} `cbor:",toarray"`
	// Era is of the store's history in which it was written.
	Era uint64
	// Frozen is the last window whose report is fixed. All before it are fixed as well, or
	// left out for good.
	Frozen uint64
	// Pending are the reports that are fixed and that the platform isn't known to have,
	// the oldest first.
	Pending []Report
}

// Next is the window whose report is to be fixed next; false if it isn't over.
func (l Ledger) Next(over uint64) (uint64, bool) { return l.Frozen + 1, l.Frozen < over }

// Freeze fixes a report. Of more than can be kept the oldest are given up.
func (l Ledger) Freeze(r Report) Ledger {
	pending := append(slices.Clone(l.Pending), r)
	return Ledger{Era: l.Era, Frozen: max(l.Frozen, r.Window), Pending: pending[max(0, len(pending)-mostPending):]}
}

// Accept notes that the platform has a window's report.
func (l Ledger) Accept(window uint64) Ledger {
	pending := slices.DeleteFunc(slices.Clone(l.Pending), func(r Report) bool { return r.Window == window })
	return Ledger{Era: l.Era, Frozen: l.Frozen, Pending: pending}
}

// Memory is what a process knows beside what is stored.
type Memory struct {
	// Era is of the store's history now.
	Era uint64
	// Own are the last reports that this process has fixed itself.
	Own []Report
	// Started is the window in which the process started, and Over the last one that is
	// over.
	Started, Over uint64
}

// Recover is the Ledger that a new holder goes on from. After a return of the store from
// an older copy, what is stored may lack reports that were sent, or hold one that was
// written late by a holder of before: windows that are over are not counted again then.
// Their reports are sent as they were where this process fixed them, and left out
// otherwise.
func Recover(stored Ledger, found bool, m Memory) Ledger {
	l := Ledger{Era: m.Era, Frozen: stored.Frozen}
	if m.Era == stored.Era {
		l.Pending = slices.Clone(stored.Pending)
	}
	for _, r := range m.Own {
		if r.Window > stored.Frozen {
			l = l.Freeze(r)
		}
	}
	switch {
	case m.Era > stored.Era:
		l.Frozen = max(l.Frozen, m.Over)
	case !found:
		// The first holder of all begins with the window of its start.
		l.Frozen = max(l.Frozen, m.Started-min(m.Started, 1))
	}
	return l
}
