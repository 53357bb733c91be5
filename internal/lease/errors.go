package lease

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// Errors returned by a Lease.
var (
	// ErrLost: the lease is not held or has expired.
	ErrLost = errors.New("lease is not held")
	// ErrConflict: a row to be written under the lease was not at the expected
	// version.
	ErrConflict = errors.New("row written under the lease is not at the expected version")
	// ErrUnavailable: the table service did not respond. Whether a write took
	// effect may be unknown.
	ErrUnavailable = errors.New("lease could not be read or written")
	// ErrCorrupt: the stored row can't be decoded by this version of the
	// program.
	ErrCorrupt = errors.New("stored lease can't be decoded")
)

// HeldError is returned by Acquire when the lease can't be acquired yet.
type HeldError struct {
	// Holder identifies the holder recorded in the row; empty if there may be one of an
	// earlier era of the table service.
	Holder string
	// Wait is the minimum time until the lease may be acquired, provided that
	// its row does not change meanwhile.
	Wait time.Duration
}

func (e *HeldError) Error() string {
	if e.Holder == "" {
		return fmt.Sprintf("lease may be held in an earlier era for at least %v", e.Wait)
	}
	return fmt.Sprintf("lease is held by %s for at least %v", e.Holder, e.Wait)
}
