// Package history records what callers, backend servers and processes saw
// during a test and judges it. One checker serves every test: Check compares
// what callers were told with the backend servers' own record of runs. All
// times are readings of one machine's clock. Start reading at History.
package history

import "time"

// History is what was seen in one test.
type History struct {
	// Calls is the callers' side.
	Calls []Call `json:"calls"`
	// Runs is the backend servers' own record.
	Runs []Run `json:"runs"`
	// Faults lists what the test did to processes and connections, planned
	// stops excepted.
	Faults []Fault `json:"faults"`
	// Leavings lists VMs that were told to leave.
	Leavings []Leaving `json:"leavings"`
	// Stops lists planned stops.
	Stops []Stop `json:"stops"`
	// Changes lists accepted changes of targets.
	Changes []Change `json:"changes"`
	// Versions lists readings of the targets in force by process.
	Versions []VersionSeen `json:"versions"`
	// Fences lists readings of fencing numbers, in their order.
	Fences []FenceSeen `json:"fences"`
}

// indexed is a History with what the checks look up again and again.
type indexed struct {
	History
	runs  map[string][]Run // by marker
	calls map[string]int   // by marker, how many there are
}

func newIndexed(h History) *indexed {
	x := &indexed{History: h, runs: map[string][]Run{}, calls: map[string]int{}}
	for _, run := range h.Runs {
		x.runs[run.Marker] = append(x.runs[run.Marker], run)
	}
	for _, call := range h.Calls {
		x.calls[call.Marker]++
	}
	return x
}

// runsOf finds the runs that carry a marker.
func (h *indexed) runsOf(marker string) []Run { return h.runs[marker] }

// faultDuring reports whether any fault was in force between two times.
func (h *indexed) faultDuring(from, to time.Time) bool {
	for _, fault := range h.Faults {
		if fault.At.Before(to) && (fault.Lifted.IsZero() || fault.Lifted.After(from)) {
			return true
		}
	}
	return false
}
