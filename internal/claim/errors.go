package claim

import (
	"github.com/go-faster/errors"
)

// Errors of a Claimer.
var (
	// ErrUnavailable: nothing was written and nothing will be. The caller
	// must not go on; the work is certainly not run.
	ErrUnavailable = errors.New("claims can't be written, the work was not run")
	// ErrUnsettled: whether the step was written could not be found out in
	// time. The caller must not go on. The key may be left claimed or
	// granted; a repeat of the call finds it and may take it over.
	ErrUnsettled = errors.New("outcome of the claim's write is unknown, the work was not sent")
	// ErrKeyReused: the key stands for a request with another fingerprint.
	ErrKeyReused = errors.New("idempotency key was used for a different request")
	// ErrAnswerGone: the work ran, and its answer was not kept.
	ErrAnswerGone = errors.New("the work ran, its answer was not kept")
	// ErrNotMine: the step is for the owner of the claim only.
	ErrNotMine = errors.New("claim belongs to another attempt")
	// ErrFinished: the claim is finished and can't be taken over.
	ErrFinished = errors.New("claim is finished")
	// ErrCorrupt: a row doesn't hold what this version of the program writes.
	ErrCorrupt = errors.New("stored claim can't be decoded")
)

// LostError says that another attempt changed the claim first. The caller must
// not go on.
type LostError struct {
	// Current is the claim as it is now.
	Current Claim
}

func (e *LostError) Error() string {
	return "claim was lost to attempt " + e.Current.Attempt
}
