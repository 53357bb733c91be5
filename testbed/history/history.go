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
}

// runsOf finds the runs that carry a marker.
func (h *History) runsOf(marker string) []Run {
	var runs []Run
	for _, run := range h.Runs {
		if run.Marker == marker {
			runs = append(runs, run)
		}
	}
	return runs
}

// faultDuring reports whether any fault was in force between two times.
func (h *History) faultDuring(from, to time.Time) bool {
	for _, fault := range h.Faults {
		if fault.At.Before(to) && (fault.Lifted.IsZero() || fault.Lifted.After(from)) {
			return true
		}
	}
	return false
}
