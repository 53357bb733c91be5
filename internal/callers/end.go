package callers

import "time"

// Cause is what ended a connection.
type Cause string

// Causes.
const (
	// CauseNone: it is open, as far as this process can see.
	CauseNone Cause = ""
	// CauseCaller: the caller ended its side.
	CauseCaller Cause = "caller_closed"
	// CauseBroken: it was reset, or what was sent stayed unacknowledged.
	CauseBroken Cause = "broken"
	// CauseIdle: this process closed it, since it rested longer than it may, or
	// rested when the process stopped.
	CauseIdle Cause = "idle"
	// CauseHere: this process closed it for another reason.
	CauseHere Cause = "closed_here"
	// CauseDeadline: a deadline for reading passed.
	CauseDeadline Cause = "read_deadline"
)

// End is how a connection stands, for the log.
type End struct {
	Cause Cause
	// Rested is for how long it had rested before its last request, or before
	// it was closed if it rested then.
	Rested time.Duration
	// Requests counts those that were read.
	Requests int
}
