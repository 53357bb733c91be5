package callers

// phase is what a connection does.
type phase int

const (
	// fresh: it was opened, and nothing came yet.
	fresh phase = iota
	// resting: the last answer has been given, and nothing came since.
	resting
	// begun: a request has begun to come, and its head isn't whole.
	begun
	// busy: a request is in progress.
	busy
	// over: it ends as soon as it is read.
	over
)
