package usage

import "slices"

// maxPendingReports limits the reports that wait to be accepted by the platform; it covers one
// minute.
const maxPendingReports = 12

// Ledger is the reporting state that is stored under the lease. Its methods decide which windows may
// be reported; those that change it return a modified copy. Its fields are encoded with integer keys
// so that different releases can read each other's rows.
type Ledger struct {
	// Era is the era of the store in which the ledger was written: the number of times that the
	// store has been restored from an older copy.
	Era uint64 `cbor:"1,keyasint,omitempty"`
	// Finalized is the last window with a final report. Every earlier window either has a final
	// report too or is never reported.
	Finalized uint64 `cbor:"2,keyasint,omitempty"`
	// Pending holds the final reports that the platform isn't known to have accepted, oldest first.
	Pending []Report `cbor:"3,keyasint,omitempty"`
}

// NextWindow returns the next window to finalize, and whether it has closed, given the last window
// that has closed.
func (l Ledger) NextWindow(lastClosed uint64) (uint64, bool) {
	return l.Finalized + 1, l.Finalized < lastClosed
}

// Finalize adds a final report. If there are more than maxPendingReports, the oldest are dropped.
func (l Ledger) Finalize(r Report) Ledger {
	pending := append(slices.Clone(l.Pending), r)
	return Ledger{Era: l.Era, Finalized: max(l.Finalized, r.Window), Pending: pending[max(0, len(pending)-maxPendingReports):]}
}

// Accept removes a window's report, which the platform has accepted, from the pending ones.
func (l Ledger) Accept(window uint64) Ledger {
	pending := slices.DeleteFunc(slices.Clone(l.Pending), func(r Report) bool { return r.Window == window })
	return Ledger{Era: l.Era, Finalized: l.Finalized, Pending: pending}
}

// LocalState is the state of a process that RecoverLedger uses in addition to the stored ledger.
type LocalState struct {
	// Era is the store's current era.
	Era uint64
	// OwnReports are the last reports that this process finalized.
	OwnReports []Report
	// StartWindow is the window in which the process started, and LastClosedWindow the last window
	// that has ended.
	StartWindow, LastClosedWindow uint64
}

// RecoverLedger returns the Ledger with which a new holder continues. After the store was restored
// from an older copy, the stored ledger may lack reports that were sent, or hold one that a
// previous holder wrote late. Windows that have closed are therefore not counted again: reports
// that this process finalized are sent unchanged, and the other windows are never reported.
func RecoverLedger(stored Ledger, found bool, local LocalState) Ledger {
	l := Ledger{Era: local.Era, Finalized: stored.Finalized}
	if local.Era == stored.Era {
		l.Pending = slices.Clone(stored.Pending)
	}
	for _, r := range local.OwnReports {
		if r.Window > stored.Finalized {
			l = l.Finalize(r)
		}
	}
	switch {
	case local.Era > stored.Era:
		l.Finalized = max(l.Finalized, local.LastClosedWindow)
	case !found:
		// The first holder ever starts with the window in which its process started.
		l.Finalized = max(l.Finalized, local.StartWindow-min(local.StartWindow, 1))
	}
	return l
}
