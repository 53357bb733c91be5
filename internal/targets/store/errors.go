package store

import (
	"fmt"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/targets"
)

// Errors of a Store.
var (
	// ErrUnavailable: the table service did not answer; nothing was changed.
	ErrUnavailable = errors.New("targets can't be reached, nothing was changed")
	// ErrCorrupt: a row doesn't hold what this version of the program writes.
	ErrCorrupt = errors.New("stored targets can't be decoded")
)

// ConflictError says that a change was made upon a version that isn't the
// newest; nothing was changed.
type ConflictError struct {
	// Base is the version that the change was made upon.
	Base uint64
	// Newer is the newest Set.
	Newer *targets.Set
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("targets are at version %d, the change was made upon version %d", e.Newer.Version, e.Base)
}

// UnsettledError says that a change may have taken effect, or may yet. The
// caller reads the targets again once the table service answers.
type UnsettledError struct {
	// Change is the id of the change.
	Change string
	// Version is the one the targets have if it took effect.
	Version uint64
	// Cause is the last error of the table service.
	Cause error
}

func (e *UnsettledError) Error() string {
	return fmt.Sprintf("change %s to version %d may or may not have taken effect: %v", e.Change, e.Version, e.Cause)
}

// Unwrap returns the last error of the table service.
func (e *UnsettledError) Unwrap() error { return e.Cause }
