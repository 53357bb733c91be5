package callers

// phase is the stage of a connection's life cycle.
type phase int

const (
	// phaseNew: the connection was opened and has received nothing yet.
	phaseNew phase = iota
	// phaseIdle: the last response is complete, and nothing has been received since.
	phaseIdle
	// phaseHeader: a request header has been received in part.
	phaseHeader
	// phaseActive: a request is in progress.
	phaseActive
	// phaseClosing: the connection closes at its next read.
	phaseClosing
)
