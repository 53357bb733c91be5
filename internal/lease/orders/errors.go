package orders

import (
	"fmt"

	"github.com/go-faster/errors"
)

// Errors of orders.
var (
	// ErrNone: no order was given to the VM.
	ErrNone = errors.New("no order was given")
	// ErrUnavailable: the table service did not answer. The outcome of giving
	// an order may be unknown; giving the same order again is harmless.
	ErrUnavailable = errors.New("orders can't be read or written")
	// ErrCorrupt: a row doesn't hold what this version of the program writes.
	ErrCorrupt = errors.New("stored order can't be decoded")
	// ErrNotRestored: the guard does not know the newest number yet.
	ErrNotRestored = errors.New("newest fencing number is not known yet")
)

// FencedError says that an order came under an old fencing number.
type FencedError struct {
	// Fence is the order's number.
	Fence uint64
	// Newest is the newest number that is known.
	Newest uint64
}

func (e *FencedError) Error() string {
	return fmt.Sprintf("order under fencing number %d, the newest is %d", e.Fence, e.Newest)
}
