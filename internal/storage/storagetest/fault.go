package storagetest

// Fault is a fault that is injected into one Commit.
type Fault int

// Faults of Commit.
const (
	// FaultNone injects no fault.
	FaultNone Fault = iota
	// FaultUnavailable rejects the commit; nothing is written.
	FaultUnavailable
	// FaultResponseLost applies the commit and loses the response.
	FaultResponseLost
	// FaultRequestLost loses the request: nothing is written, and the caller
	// gets ErrOutcomeUnknown.
	FaultRequestLost
	// FaultDelayed loses the response and delays the request until
	// Table.ApplyDelayed is called.
	FaultDelayed
	// FaultTimeout blocks until the caller's context ends: nothing is
	// written, and the caller gets ErrOutcomeUnknown.
	FaultTimeout
)
