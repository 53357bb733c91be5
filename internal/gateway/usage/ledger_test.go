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
		stored  Ledger
		found   bool
		memory  Memory
		frozen  uint64
		pending []uint64
	}{
		"the first holder ever begins with its start's window": {Ledger{}, false, Memory{Started: 50}, 49, nil},
		"as stored": {Ledger{Frozen: 60, Pending: reports(59, 60)}, true, Memory{Told: 60, Started: 50}, 60, []uint64{59, 60}},
		"stored by the holder before, not told yet":      {Ledger{Frozen: 61, Pending: reports(61)}, true, Memory{Told: 60, Started: 50}, 61, []uint64{61}},
		"lost, and nobody has them":                      {Ledger{Frozen: 57, Pending: reports(57)}, true, Memory{Told: 60, Started: 50, Returned: true}, 60, []uint64{57}},
		"lost, and this process has some":                {Ledger{Frozen: 57}, true, Memory{Told: 60, Own: reports(56, 57, 58, 59), Returned: true}, 60, []uint64{58, 59}},
		"lost, and nobody knows what was sent":           {Ledger{Frozen: 57, Pending: reports(57)}, true, Memory{Started: 62, Returned: true}, 61, []uint64{57}},
		"lost before the copy held any":                  {Ledger{}, false, Memory{Told: 60, Started: 50, Returned: true}, 60, nil},
		"a restart of all, nothing lost":                 {Ledger{Frozen: 57}, true, Memory{Started: 62}, 57, nil},
		"the window of the start, before 1970 had ended": {Ledger{}, false, Memory{}, 0, nil},
	}
	for name, c := range cases {
		got := Recover(c.stored, c.found, c.memory)
		if got.Frozen != c.frozen || !slices.Equal(pending(got), c.pending) {
			t.Errorf("%s: frozen %d, pending %v, want %d, %v", name, got.Frozen, pending(got), c.frozen, c.pending)
		}
	}
}

func TestLedgerIsBounded(t *testing.T) {
	var l Ledger
	for w := uint64(1); w <= 3*mostPending; w++ {
		l = l.Freeze(reports(w)[0])
	}
	if len(l.Pending) != mostPending || l.Pending[0].Window != 2*mostPending+1 || l.Frozen != 3*mostPending {
		t.Errorf("%v pending, frozen %d", pending(l), l.Frozen)
	}
	before := pending(l)
	if after := l.Accept(l.Frozen); len(after.Pending) != mostPending-1 || !slices.Equal(pending(l), before) {
		t.Errorf("%v pending after one was accepted, %v before", pending(after), pending(l))
	}
	if w, due := l.Next(l.Frozen); due || w != l.Frozen+1 {
		t.Errorf("window %d, due %v", w, due)
	}
}
