package usage

import "slices"

// mostPending bounds the reports that wait for the platform: those of a minute.
const mostPending = 12

// Ledger is what has been reported, as it is stored under the lease. Its methods decide
// what may be reported; they return a changed copy.
type Ledger struct {
	_ struct{} `cbor:",toarray"`
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
	return Ledger{Frozen: max(l.Frozen, r.Window), Pending: pending[max(0, len(pending)-mostPending):]}
}

// Accept notes that the platform has a window's report.
func (l Ledger) Accept(window uint64) Ledger {
	pending := slices.DeleteFunc(slices.Clone(l.Pending), func(r Report) bool { return r.Window == window })
	return Ledger{Frozen: l.Frozen, Pending: pending}
}

// Memory is what a process knows of reports beside what is stored.
type Memory struct {
	// Told is the last window that was fixed, as far as any gateway has told.
	Told uint64
	// Own are the last reports that this process has fixed itself.
	Own []Report
	// Started is the window in which the process started.
	Started uint64
	// Returned says that the store has come back from an older copy at some time.
	Returned bool
}

// Recover is the Ledger that a new holder goes on from. What is stored may be older than
// what was sent, after a return of the store from an older copy: a window that may have
// been reported isn't counted again. Its report is sent as it was where this process has
// it, and left out otherwise.
func Recover(stored Ledger, found bool, m Memory) Ledger {
	l := Ledger{Frozen: stored.Frozen, Pending: slices.Clone(stored.Pending)}
	last := m.Told
	for _, r := range m.Own {
		last = max(last, r.Window)
		if r.Window > stored.Frozen {
			l.Pending = append(l.Pending, r)
		}
	}
	l.Frozen = max(l.Frozen, last)
	if !found || m.Returned && last == 0 {
		// Nobody knows what was sent before this process started.
		l.Frozen = max(l.Frozen, m.Started-min(m.Started, 1))
	}
	return l
}
