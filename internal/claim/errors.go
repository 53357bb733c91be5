package claim

import (
	"github.com/go-faster/errors"
)

// Errors of a Claimer. After ErrUnavailable and ErrOutcomeUnknown the caller must not
// send the request.
var (
	// ErrUnavailable means that nothing was written and nothing will be. The work
	// was not run.
	ErrUnavailable = errors.New("claim cannot be written, the work was not run")
	// ErrOutcomeUnknown means that the outcome of the write could not be determined
	// in time. The key may remain claimed or granted; a repeated call finds that
	// claim and may take it over.
	ErrOutcomeUnknown = errors.New("outcome of the claim write is unknown, the work was not sent")
	// ErrKeyReused means that the key was used for a request with a different
	// fingerprint.
	ErrKeyReused = errors.New("idempotency key was used for a different request")
	// ErrResponseNotStored means that the work ran but its response was not stored.
	ErrResponseNotStored = errors.New("the work ran, but its response was not stored")
	// ErrNotOwner means that the operation requires ownership of the claim.
	ErrNotOwner = errors.New("claim belongs to another attempt")
	// ErrFinished means that the claim is finished and cannot be taken over.
	ErrFinished = errors.New("claim is finished")
	// ErrCorrupt means that a row cannot be decoded by this version of the program.
	ErrCorrupt = errors.New("stored claim cannot be decoded")
)

// ConflictError means that another writer changed the claim first. The caller must not
// send the request.
type ConflictError struct {
	// Current is the stored claim. Its State is empty if the row does not exist.
	Current Claim
}

// Error names the attempt that owns the claim.
func (e *ConflictError) Error() string {
	return "claim was changed by attempt " + e.Current.Attempt
}
