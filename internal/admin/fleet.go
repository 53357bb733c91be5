package admin

import "time"

// maxStatusAge is the maximum age of a status that counts as recent. The
// status of connected processes is refreshed far more often. 10 seconds are
// short enough to report a silent process within the 14 seconds in which a
// change must reach all processes.
const maxStatusAge = 10 * time.Second

// Fleet reports the status of all processes, including this one, as known to
// this process.
type Fleet interface {
	// Processes returns all entries and agents, including those without a
	// status.
	Processes() []Process
	// BackendServers returns the backend servers of the agents.
	BackendServers() []BackendServer
}

// Process is the last known status of a process.
type Process struct {
	// Name is the name of its VM.
	Name string
	// Zone is its availability zone.
	Zone string
	// Role is "entry" or "agent".
	Role string
	// TargetsVersion is the version of the targets that the process last
	// reported as applied.
	TargetsVersion uint64
	// HasStatus is true if the process has ever reported its status. StatusAge
	// is the time since its last report.
	HasStatus bool
	StatusAge time.Duration
	// Draining is true if the process takes no new work.
	Draining bool
}

// hasRecentStatus reports whether the last status is at most maxStatusAge old.
func (p Process) hasRecentStatus() bool {
	return p.HasStatus && p.StatusAge <= maxStatusAge
}

// BackendServer is the last known status of a backend server.
type BackendServer struct {
	// VM is the name of its VM. Zone is its availability zone.
	VM   string
	Zone string
	// Serves is the name of the model or plain service that it runs.
	Serves string
	// Running is the number of requests that run, Waiting the number of requests
	// that wait at the agent, and Limit the maximum of Running.
	Running int
	Waiting int
	Limit   int
	// Draining is true if its agent takes no new work. Down is true if the agent
	// can't reach the backend server.
	Draining bool
	Down     bool
	// HasStatus is true if its agent has ever reported its status. StatusAge is
	// the time since that agent's last report.
	HasStatus bool
	StatusAge time.Duration
}
