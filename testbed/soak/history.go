// Package soak plays series of faults that overlap, drawn from a seed, on
// gateways, backend servers and a store that are processes of their own, under
// callers that keep their connections, and judges what callers and servers saw.
// Start reading at Run; the judgement is Check.
package soak

import "time"

// History is what was seen in one seed's play. All times are of one machine's
// clock.
type History struct {
	Calls    []Call
	Arrivals []Arrival
	Faults   []Fault
	Stops    []Stop
	States   []State
	Readings []Reading
	// Probes tells when each gateway served again after the last fault.
	Probes []Probe
	Bounds Bounds
	Duties Duties
}

// Duties is what the platform says of the calls that one gateway at a time makes: how many
// windows were reported, and what should not have happened.
type Duties struct {
	Reports int
	Broken  []string
}

// Bounds are what is promised: by the settings of the gateways, the operators'
// pages, or the VMs' size.
type Bounds struct {
	// Contact is for how long before a request nothing may have hit what it
	// meets, so that it is owed an answer.
	Contact time.Duration
	// Revoke is how soon a key that is taken away stops working.
	Revoke time.Duration
	// Recover is how soon a gateway serves after the last fault.
	Recover time.Duration
	// MemoryMB and Descriptors are what a gateway may use.
	MemoryMB    float64
	Descriptors int
}

// Arrival is a request as it reached a backend server.
type Arrival struct {
	ID     string
	Server string
	At     time.Time
	// Script is what the server did with it, Ran whether that is a run, and Cut
	// whether the server broke off an answer that it had begun.
	Script string
	Ran    bool
	Cut    bool
}

// Fault is something unplanned that hit a process or a path; Who is the name of
// the gateway or server.
type Fault struct {
	Who, Kind string
	From, To  time.Time
}

// Stop is a planned stop of a gateway.
type Stop struct {
	Gateway string
	At, End time.Time
	Grace   time.Duration
	// Failed says that the process ended with an error, or had to be killed.
	Failed bool
}

// State is a desired state; At is when the store acknowledged it.
type State struct {
	Version uint64
	At      time.Time
	Idle    time.Duration
	Routes  int
	// Removed are the keys that it takes away.
	Removed []string
}

// Reading is a look at a gateway's process.
type Reading struct {
	Gateway  string
	Process  int
	At       time.Time
	Version  uint64
	MemoryMB float64
	// Descriptors are the open ones.
	Descriptors int
}

// Probe is when a gateway served a kind of request after the last fault; After
// is negative if it never did.
type Probe struct {
	Gateway, Kind string
	After         time.Duration
}
