package usage

import "slices"

// maxPending bounds the reports that wait for the platform: those of a minute.
const maxPendingReports = 12

// Ledger is what has been reported, as it is stored under the lease. Its methods decide
// what may be reported; they return a changed copy. Its fields have numbers for names, so
// that two releases read each other's.
type Ledger struct {
	// Era is of the store's history in which it was written.
	Era uint64 `cbor:"1,keyasint,omitempty"`
	// Finalized is the last window with a final report. All before it have one too, or are
	// left out for good.
	Finalized uint64 `cbor:"2,keyasint,omitempty"`
	// Pending are the final reports that the platform isn't known to have, oldest first.
	Pending []Report `cbor:"3,keyasint,omitempty"`
}

// Next is the next window to finalize; false if it isn't over.
func (l Ledger) Next(lastClosed uint64) (uint64, bool) {
	return l.Finalized + 1, l.Finalized < lastClosed
}

// Finalize adds a final report. Of more than can be kept the oldest are given up.
func (l Ledger) Finalize(r Report) Ledger {
	pending := append(slices.Clone(l.Pending), r)
	return Ledger{Era: l.Era, Finalized: max(l.Finalized, r.Window), Pending: pending[max(0, len(pending)-maxPendingReports):]}
}

// Accept notes that the platform has a window's report.
func (l Ledger) Accept(window uint64) Ledger {
	pending := slices.DeleteFunc(slices.Clone(l.Pending), func(r Report) bool { return r.Window == window })
	return Ledger{Era: l.Era, Finalized: l.Finalized, Pending: pending}
}

// Memory is what a process knows beside what is stored.
type Memory struct {
	// Era is of the store's history now.
	Era uint64
	// Own are the last reports that this process finalized.
	Own []Report
	// Started is the window in which the process started, and Over the last one that is
	// over.
	Started, Over uint64
}

// Recover is the Ledger that a new holder goes on from. After a return of the store from
// an older copy, what is stored may lack reports that were sent, or hold one that was
// written late by a holder of before: windows that are over are not counted again then.
// Their reports are sent as they were where this process finalized them, and left out
// otherwise.
func Recover(stored Ledger, found bool, local Memory) Ledger {
	l := Ledger{Era: local.Era, Finalized: stored.Finalized}
	if local.Era == stored.Era {
		l.Pending = slices.Clone(stored.Pending)
	}
	for _, r := range local.Own {
		if r.Window > stored.Finalized {
			l = l.Finalize(r)
		}
	}
	switch {
	case local.Era > stored.Era:
		l.Finalized = max(l.Finalized, local.Over)
	case !found:
		// The first holder of all begins with the window of its start.
		l.Finalized = max(l.Finalized, local.Started-min(local.Started, 1))
	}
	return l
}
