package handover

import "github.com/go-faster/errors"

// Errors of a handover.
var (
	// ErrUnreachable: the other gateway didn't answer in time.
	ErrUnreachable = errors.New("gateway doesn't hand over its state")
	// ErrGap: the other gateway doesn't know all changes after the position.
	ErrGap = errors.New("gateway doesn't know all changes")
	// ErrTooLarge: the desired state is to be had from the store.
	ErrTooLarge = errors.New("desired state is too large to be handed over")
	// ErrForm: what it answered is no state.
	ErrForm = errors.New("state of another form")
)
