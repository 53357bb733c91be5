package orders

import (
	"fmt"

	"github.com/go-faster/errors"
)

// Errors returned by this package.
var (
	// ErrNone: no order was issued to the VM's agent.
	ErrNone = errors.New("no order was issued")
	// ErrUnavailable: the table service did not respond. Whether an order was
	// written may be unknown; issuing the same order again is harmless.
	ErrUnavailable = errors.New("orders could not be read or written")
	// ErrCorrupt: a stored row can't be decoded by this version of the program.
	ErrCorrupt = errors.New("stored order can't be decoded")
	// ErrNotRefreshed: the guard has not read the newest fencing token yet.
	ErrNotRefreshed = errors.New("newest fencing token is not known yet")
)

// FencedError reports an order that was rejected because of a stale fencing token.
type FencedError struct {
	// FencingToken is the order's fencing token.
	FencingToken uint64
	// Newest is the newest fencing token known.
	Newest uint64
}

func (e *FencedError) Error() string {
	return fmt.Sprintf("order has stale fencing token %d, newest is %d", e.FencingToken, e.Newest)
}
