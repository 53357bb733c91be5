package history

import "time"

// Fault is an unplanned failure that the test injected.
type Fault struct {
	Kind string `json:"kind"`
	// Process is the affected process, or the remote end of the affected connection.
	Process string    `json:"process"`
	At      time.Time `json:"at"`
	// Cleared is when the fault's effects ended; zero if they last.
	Cleared time.Time `json:"lifted"`
}

// Drain records that a VM was ordered to drain.
type Drain struct {
	Server string    `json:"server"`
	At     time.Time `json:"at"`
	// Limit is the time after At during which new work may still start on the VM.
	Limit time.Duration `json:"limit"`
}

// Stop is a planned stop of a process by SIGTERM.
type Stop struct {
	Process string    `json:"process"`
	At      time.Time `json:"at"`
	// Clean reports whether the process exited by itself with code 0.
	Clean bool `json:"clean"`
	// Detail describes an exit that was not clean.
	Detail string `json:"detail,omitempty"`
}

// Change is a change of targets that an entry accepted.
type Change struct {
	// Version is the version that the entry assigned to the change.
	Version  uint64    `json:"version"`
	Class    string    `json:"class"`
	Accepted time.Time `json:"accepted"`
	// Limit is how long the change may take to be in force in all processes.
	Limit time.Duration `json:"limit"`
}

// VersionReading is one reading of the version of the targets in force at a process.
type VersionReading struct {
	Process string    `json:"process"`
	At      time.Time `json:"at"`
	Version uint64    `json:"version"`
	// ClassVersions maps a class to the version of the last accepted change to
	// it that the reading contains. Classes whose version can't be determined are missing.
	ClassVersions map[string]uint64 `json:"held,omitempty"`
	// Excused marks a reading of a process that was recently paused, disconnected
	// or not running: its version may be late, but must not decrease.
	Excused bool `json:"excused,omitempty"`
}
