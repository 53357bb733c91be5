package lease

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// Errors of a Lease.
var (
	// ErrLost: the lease is not held, or no longer.
	ErrLost = errors.New("lease is not held")
	// ErrConflict: a row written under the lease was at another version.
	ErrConflict = errors.New("row written under the lease is at another version")
	// ErrUnavailable: the table service did not answer. The outcome of a
	// write may be unknown.
	ErrUnavailable = errors.New("lease can't be read or written")
	// ErrCorrupt: the row doesn't hold what this version of the program
	// writes.
	ErrCorrupt = errors.New("stored lease can't be decoded")
)

// HeldError says that another process may hold the lease.
type HeldError struct {
	// Holder is the other process.
	Holder string
	// Wait is how long the row must stay unchanged until it may be taken.
	Wait time.Duration
}

func (e *HeldError) Error() string {
	return fmt.Sprintf("lease is held by %s, for %v at least", e.Holder, e.Wait)
}
