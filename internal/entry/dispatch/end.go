package dispatch

// endKind says how one attempt's run ended.
type endKind int

const (
	// endWhole: the terminal frame came.
	endWhole endKind = iota
	// endNotRun: it certainly did not run.
	endNotRun
	// endBlocked: it was not sent, and must not be sent elsewhere either.
	endBlocked
	// endRejected: the backend server refused it.
	endRejected
	// endCut: it ran, or may have, and did not end whole.
	endCut
	// endPreempted: the agent stopped it in favour of urgent work.
	endPreempted
	// endGone: the caller went away.
	endGone
)

// end is how one attempt's run ended.
type end struct {
	kind   endKind
	reason string
	status int
	body   []byte
}
