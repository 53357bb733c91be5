package usage

import (
	"slices"
	"testing"
)

func pendingWindows(l Ledger) []uint64 {
	var windows []uint64
	for _, r := range l.Pending {
		windows = append(windows, r.Window)
	}
	return windows
}

func reportsFor(windows ...uint64) []Report {
	var reports []Report
	for _, w := range windows {
		reports = append(reports, Report{Window: w, Counts: map[string]int64{"a": int64(w)}})
	}
	return reports
}

func TestRecoverLedger(t *testing.T) {
	cases := map[string]struct {
		stored    Ledger
		found     bool
		local     LocalState
		finalized uint64
		pending   []uint64
	}{
		"first holder ever starts with its start window": {Ledger{}, false, LocalState{StartWindow: 50, LastClosedWindow: 60}, 49, nil},
		"same era, stored ledger":                        {Ledger{Finalized: 60, Pending: reportsFor(59, 60)}, true, LocalState{StartWindow: 50, LastClosedWindow: 62}, 60, []uint64{59, 60}},
		"restart of all gateways":                        {Ledger{Finalized: 57}, true, LocalState{StartWindow: 62, LastClosedWindow: 62}, 57, nil},
		"restored, no own reports":                       {Ledger{Finalized: 57, Pending: reportsFor(57)}, true, LocalState{Era: 1, LastClosedWindow: 60}, 60, nil},
		"restored, some own reports":                     {Ledger{Finalized: 57}, true, LocalState{Era: 1, OwnReports: reportsFor(56, 57, 58, 59), LastClosedWindow: 59}, 59, []uint64{58, 59}},
		"restored from a copy without a ledger":          {Ledger{}, false, LocalState{Era: 2, StartWindow: 50, LastClosedWindow: 60}, 60, nil},
		"ledger stored after the restore":                {Ledger{Era: 1, Finalized: 58}, true, LocalState{Era: 1, OwnReports: reportsFor(57), LastClosedWindow: 60}, 58, nil},
		"all zero":                                       {Ledger{}, false, LocalState{}, 0, nil},
	}
	for name, c := range cases {
		got := RecoverLedger(c.stored, c.found, c.local)
		if got.Finalized != c.finalized || got.Era != c.local.Era || !slices.Equal(pendingWindows(got), c.pending) {
			t.Errorf("%s: finalized %d, pending %v, want %d, %v", name, got.Finalized, pendingWindows(got), c.finalized, c.pending)
		}
	}
}

func TestPendingReportsAreBounded(t *testing.T) {
	var ledger Ledger
	for w := uint64(1); w <= 3*maxPendingReports; w++ {
		ledger = ledger.Finalize(reportsFor(w)[0])
	}
	if len(ledger.Pending) != maxPendingReports || ledger.Pending[0].Window != 2*maxPendingReports+1 || ledger.Finalized != 3*maxPendingReports {
		t.Errorf("pending %v, finalized %d", pendingWindows(ledger), ledger.Finalized)
	}
	before := pendingWindows(ledger)
	if after := ledger.Accept(ledger.Finalized); len(after.Pending) != maxPendingReports-1 || !slices.Equal(pendingWindows(ledger), before) {
		t.Errorf("pending %v after one was accepted, original ledger %v", pendingWindows(after), pendingWindows(ledger))
	}
	if w, due := ledger.NextWindow(ledger.Finalized); due || w != ledger.Finalized+1 {
		t.Errorf("window %d, due %v", w, due)
	}
}
