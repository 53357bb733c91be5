// Package history records what callers, backend servers and processes observed
// during a test. Check compares the outcomes that callers observed with the backend
// servers' own record of runs and reports each violated guarantee. All times are
// read from one machine's clock. Start reading at History.
package history

import "time"

// History is everything observed during one test.
type History struct {
	// Calls lists the calls as callers observed them.
	Calls []Call `json:"calls"`
	// Runs lists the runs as backend servers recorded them.
	Runs []Run `json:"runs"`
	// Faults lists the injected faults of processes and connections; planned
	// stops are not faults.
	Faults []Fault `json:"faults"`
	// Drains lists VMs that were ordered to drain.
	Drains []Drain `json:"leavings"`
	// Stops lists planned stops.
	Stops []Stop `json:"stops"`
	// Changes lists accepted changes of targets.
	Changes []Change `json:"changes"`
	// Versions lists readings of the version of the targets in force at a process.
	Versions []VersionReading `json:"versions"`
	// FencingTokens lists readings of fencing tokens, in order.
	FencingTokens []FencingTokenReading `json:"fences"`
}

// indexedHistory is a History with its runs and calls indexed by marker.
type indexedHistory struct {
	History
	runs  map[string][]Run // by marker
	calls map[string]int   // number of calls, by marker
}

func newIndexedHistory(h History) *indexedHistory {
	x := &indexedHistory{History: h, runs: map[string][]Run{}, calls: map[string]int{}}
	for _, run := range h.Runs {
		x.runs[run.Marker] = append(x.runs[run.Marker], run)
	}
	for _, call := range h.Calls {
		x.calls[call.Marker]++
	}
	return x
}

// runsOf returns the runs with a marker.
func (h *indexedHistory) runsOf(marker string) []Run { return h.runs[marker] }

// faultDuring reports whether any fault was in effect between two times.
func (h *indexedHistory) faultDuring(from, to time.Time) bool {
	for _, fault := range h.Faults {
		if fault.At.Before(to) && (fault.Cleared.IsZero() || fault.Cleared.After(from)) {
			return true
		}
	}
	return false
}
