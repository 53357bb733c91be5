package usage

import (
	"slices"
	"testing"
)

func pending(l Ledger) []uint64 {
	var windows []uint64
	for _, r := range l.Pending {
		windows = append(windows, r.Window)
	}
	return windows
}

func reports(windows ...uint64) []Report {
	var all []Report
	for _, w := range windows {
		all = append(all, Report{Window: w, Counts: map[string]int64{"a": int64(w)}})
	}
	return all
}

func TestLedgerGoesOnWhereItWas(t *testing.T) {
	cases := map[string]struct {
		stored    Ledger
		found     bool
		memory    Memory
		finalized uint64
		pending   []uint64
	}{
		"the first holder ever begins with its start's window": {Ledger{}, false, Memory{Started: 50, Over: 60}, 49, nil},
		"as stored":                       {Ledger{Finalized: 60, Pending: reports(59, 60)}, true, Memory{Started: 50, Over: 62}, 60, []uint64{59, 60}},
		"a restart of all":                {Ledger{Finalized: 57}, true, Memory{Started: 62, Over: 62}, 57, nil},
		"lost, and this process has none": {Ledger{Finalized: 57, Pending: reports(57)}, true, Memory{Era: 1, Over: 60}, 60, nil},
		"lost, and this process has some": {Ledger{Finalized: 57}, true, Memory{Era: 1, Own: reports(56, 57, 58, 59), Over: 59}, 59, []uint64{58, 59}},
		"lost before the copy held any":   {Ledger{}, false, Memory{Era: 2, Started: 50, Over: 60}, 60, nil},
		"stored after the return":         {Ledger{Era: 1, Finalized: 58}, true, Memory{Era: 1, Own: reports(57), Over: 60}, 58, nil},
		"at the beginning of time":        {Ledger{}, false, Memory{}, 0, nil},
	}
	for name, c := range cases {
		got := Recover(c.stored, c.found, c.memory)
		if got.Finalized != c.finalized || got.Era != c.memory.Era || !slices.Equal(pending(got), c.pending) {
			t.Errorf("%s: finalized %d, pending %v, want %d, %v", name, got.Finalized, pending(got), c.finalized, c.pending)
		}
	}
}

func TestLedgerIsBounded(t *testing.T) {
	var l Ledger
	for w := uint64(1); w <= 3*maxPending; w++ {
		l = l.Finalize(reports(w)[0])
	}
	if len(l.Pending) != maxPending || l.Pending[0].Window != 2*maxPending+1 || l.Finalized != 3*maxPending {
		t.Errorf("%v pending, finalized %d", pending(l), l.Finalized)
	}
	before := pending(l)
	if after := l.Accept(l.Finalized); len(after.Pending) != maxPending-1 || !slices.Equal(pending(l), before) {
		t.Errorf("%v pending after one was accepted, %v before", pending(after), pending(l))
	}
	if w, due := l.Next(l.Finalized); due || w != l.Finalized+1 {
		t.Errorf("window %d, due %v", w, due)
	}
}
