package handover

import "github.com/go-faster/errors"

// Errors of this package.
var (
	// ErrUnreachable means that the other gateway didn't respond in time, or not with the
	// expected status.
	ErrUnreachable = errors.New("gateway did not return its state")
	// ErrHistoryGap means that the other gateway doesn't know all changes after the position.
	ErrHistoryGap = errors.New("gateway doesn't know all changes after the position")
	// ErrTooLarge means that the desired state is too large to transfer between gateways. It
	// has to be read from the store.
	ErrTooLarge = errors.New("desired state is too large to transfer between gateways")
	// ErrMalformed means that the response can't be decoded.
	ErrMalformed = errors.New("malformed response")
)
