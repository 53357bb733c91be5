package store

import (
	"fmt"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/targets"
)

// Errors returned by Store and Poller.
var (
	// ErrUnavailable means that the table service could not be read or did not
	// accept a write; nothing was changed.
	ErrUnavailable = errors.New("table service for targets is unavailable, nothing was changed")
	// ErrCorrupt means that a stored row is not in the format that this
	// version of the program writes.
	ErrCorrupt = errors.New("stored targets can't be decoded")
)

// ConflictError reports that a change was based on a version that isn't the
// newest; nothing was changed.
type ConflictError struct {
	// Base is the version that the change was based on.
	Base uint64
	// Newer is the newest Set.
	Newer *targets.Set
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("targets are at version %d, the change was made upon version %d", e.Newer.Version, e.Base)
}

// OutcomeUnknownError reports that a change may have taken effect or may still
// take effect. The caller should read the targets again once the table service
// responds.
type OutcomeUnknownError struct {
	// Change is the ID of the change.
	Change string
	// Version is the version that the change creates if it takes effect.
	Version uint64
	// Cause is the last error returned by the table service.
	Cause error
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("change %s to version %d may or may not have taken effect: %v", e.Change, e.Version, e.Cause)
}

// Unwrap returns Cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }
