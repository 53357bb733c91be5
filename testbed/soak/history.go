// Package soak injects overlapping series of faults, drawn from a seed, into
// gateways, backend servers and a store that run as separate processes, while
// callers send requests over persistent connections. It then checks what callers
// and servers observed. Start reading at Run; Check contains the checks.
package soak

import (
	"time"

	"github.com/applepier/applepier/testbed/retries"
)

// History is everything observed during the run of one seed. All times are read
// from one machine's clock.
type History struct {
	Calls    []Call
	Arrivals []Arrival
	Faults   []Fault
	Stops    []Stop
	States   []State
	Readings []Reading
	// Probes records when each gateway served again after the last fault.
	Probes []Probe
	Bounds Bounds
	Duties Duties
	// Servers are the times in which each instance of a backend server served.
	Servers []ServerSpan
	// Stalls are the times in which the soak itself didn't run.
	Stalls []Stall
	// Earlier names the gateways that run an earlier release.
	Earlier []string
}

// ServerSpan is the time from the start of a backend server's instance until it began
// to drain or ended. To is zero for one that served at the end.
type ServerSpan struct {
	Server, Version string
	From, To        time.Time
}

// Duties is the platform's record of the usage reporting calls, which only one gateway
// at a time may make. Reports is the number of usage windows that were reported, and
// Broken lists the violations that the platform detected.
type Duties struct {
	Reports int
	Broken  []string
}

// Bounds are the guaranteed limits, from the gateways' settings, the operator
// documentation or the size of the VMs.
type Bounds struct {
	// Contact is how long before a request the processes involved must have been
	// free of faults for the request to be owed a response.
	Contact time.Duration
	// Revoke is how soon a removed key must stop working.
	Revoke time.Duration
	// Drain is how soon a server that drains must get no more requests.
	Drain time.Duration
	// Retries bounds the sends beyond the first of each request, over all gateways.
	Retries retries.Rule
	// Recover is how soon a gateway must serve after the last fault.
	Recover time.Duration
	// MemoryMB and Descriptors bound a gateway's resident memory and open file
	// descriptors.
	MemoryMB    float64
	Descriptors int
}

// Arrival is a request as a backend server received it.
type Arrival struct {
	ID     string
	Server string
	At     time.Time
	// Script names the server's behavior. Ran reports whether that behavior
	// counts as a run, and Cut whether the server broke off its response, or
	// goes on after its end.
	Script string
	Ran    bool
	Cut    bool
	// Instance is the server's instance. Backoff is the time without requests that its response asks for,
	// and Draining whether it says that the server drains.
	Instance string        `json:",omitempty"`
	Backoff  time.Duration `json:",omitempty"`
	Draining bool          `json:",omitempty"`
	// Crashed reports whether the server crashed as it began to answer.
	Crashed bool `json:",omitempty"`
}

// Fault is an unplanned failure of a process or network path. Who is the name of
// the gateway or server. To is zero while the fault lasts.
type Fault struct {
	Who, Kind string
	From, To  time.Time
}

// Stop is a planned stop of a gateway.
type Stop struct {
	Gateway string
	At, End time.Time
	Grace   time.Duration
	// Gone is when the kernel said that the process had ended; zero if not by End.
	Gone time.Time
	// Failed reports whether the process exited with an error or had to be killed.
	Failed bool
}

// State is a desired state. At is when the store acknowledged it, or zero. Idle is the
// idle timeout, and Routes the number of routes beyond the initial ones.
type State struct {
	Version uint64
	At      time.Time
	Idle    time.Duration
	Routes  int
	// Removed are the keys that the state no longer lists.
	Removed []string
}

// Reading is one sample of a gateway process's state and resource use.
type Reading struct {
	Gateway  string
	Process  int
	At       time.Time
	Version  uint64
	MemoryMB float64
	// Descriptors is the number of open file descriptors.
	Descriptors int
}

// Probe records how long after the last fault a gateway served a kind of request.
// After is negative if it didn't.
type Probe struct {
	Gateway, Kind string
	After         time.Duration
}
