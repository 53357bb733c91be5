package history

import "time"

// Fault is something that the test did and nobody planned for.
type Fault struct {
	Kind string `json:"kind"`
	// Process is whom it hit, or the connection's far end.
	Process string    `json:"process"`
	At      time.Time `json:"at"`
	// Lifted is zero for faults that last.
	Lifted time.Time `json:"lifted"`
}

// Leaving is a VM that was told to leave.
type Leaving struct {
	Server string    `json:"server"`
	At     time.Time `json:"at"`
	// Limit is how long new work may still start there.
	Limit time.Duration `json:"limit"`
}

// Stop is a planned stop of a process by SIGTERM.
type Stop struct {
	Process string    `json:"process"`
	At      time.Time `json:"at"`
	// Clean says that the process ended by itself with code 0.
	Clean bool `json:"clean"`
	// Detail is what was seen instead.
	Detail string `json:"detail,omitempty"`
}

// Change is a change of targets that an entry accepted.
type Change struct {
	// Version is the one the entry gave it.
	Version  uint64    `json:"version"`
	Class    string    `json:"class"`
	Accepted time.Time `json:"accepted"`
	// Limit is how long it may take to be in force everywhere.
	Limit time.Duration `json:"limit"`
}

// VersionSeen is one reading of the targets in force at a process.
type VersionSeen struct {
	Process string    `json:"process"`
	At      time.Time `json:"at"`
	Version uint64    `json:"version"`
	// Held names the classes whose accepted change the reading contained:
	// class by the version that last changed it, as the test can tell.
	Held map[string]uint64 `json:"held,omitempty"`
	// Excused readings come from a process that was paused, cut off or not
	// running a moment ago: they may be late, but may not go back.
	Excused bool `json:"excused,omitempty"`
}
