package handover

import "github.com/go-faster/errors"

// Errors of a handover.
var (
	// ErrUnreachable: the other gateway didn't answer in time.
	ErrUnreachable = errors.New("gateway doesn't hand over its state")
	// ErrForm: what it answered is no state.
	ErrForm = errors.New("state of another form")
)
