package callers

import "time"

// CloseReason tells why a connection was closed or stopped being read. Its values are
// written to the log.
type CloseReason string

// Close reasons.
const (
	// ReasonNone: the connection is open, as far as this process can tell.
	ReasonNone CloseReason = ""
	// ReasonCallerClosed: the caller closed its side.
	ReasonCallerClosed CloseReason = "caller_closed"
	// ReasonBroken: the connection was reset, or sent data was not acknowledged in
	// time.
	ReasonBroken CloseReason = "broken"
	// ReasonIdle: this process closed the connection because it exceeded the idle
	// timeout, or was idle when the process stopped.
	ReasonIdle CloseReason = "idle"
	// ReasonServerClosed: this process closed the connection for another reason.
	ReasonServerClosed CloseReason = "closed_here"
	// ReasonReadDeadline: a read deadline expired.
	ReasonReadDeadline CloseReason = "read_deadline"
)

// ConnStatus is a connection's state as written to the log.
type ConnStatus struct {
	CloseReason CloseReason
	// IdleTime is how long the connection was idle before its last request, or before
	// it was closed if it was idle then.
	IdleTime time.Duration
	// Requests is the number of requests read so far.
	Requests int
}
