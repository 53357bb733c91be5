package storagetest

// Fault is what goes wrong with one Commit.
type Fault int

// Faults of a Commit.
const (
	// FaultNone lets the commit through.
	FaultNone Fault = iota
	// FaultDown refuses it; nothing is written.
	FaultDown
	// FaultLost writes it and loses the answer.
	FaultLost
	// FaultDropped loses the call; nothing is written and nobody knows.
	FaultDropped
	// FaultLate loses the answer and keeps the call back until Land.
	FaultLate
	// FaultSlow waits until the caller's context ends; nothing is written
	// and nobody knows.
	FaultSlow
)
