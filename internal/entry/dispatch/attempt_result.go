package dispatch

// attemptOutcome classifies how an attempt ended.
type attemptOutcome int

const (
	// attemptCompleted: the terminal frame was received.
	attemptCompleted attemptOutcome = iota
	// attemptNotRun: the request was not run.
	attemptNotRun
	// attemptGrantNotRecorded: the grant could not be recorded, so the request
	// was not sent. It must not be sent to another agent either.
	attemptGrantNotRecorded
	// attemptRejected: the backend server rejected the request.
	attemptRejected
	// attemptInterrupted: the request ran or may have run, and did not
	// complete.
	attemptInterrupted
	// attemptPreempted: the agent stopped the run in favor of more urgent work.
	attemptPreempted
	// attemptCancelled: the caller disconnected.
	attemptCancelled
)

// attemptResult describes how an attempt ended. httpStatus and body are set for
// attemptRejected only.
type attemptResult struct {
	outcome    attemptOutcome
	reason     string
	httpStatus int
	body       []byte
}
