package exchange

import "github.com/go-faster/errors"

// Errors of an exchange. What they say of the request is what a caller may be
// told of it.
var (
	// ErrNotSent: no byte of the request left this process, so it didn't run.
	ErrNotSent = errors.New("request was not sent")
	// ErrBroken: the connection ended, or what came was no whole answer; the
	// request may have run.
	ErrBroken = errors.New("answer was broken off")
	// ErrTimeout: nothing came in time; the request may have run.
	ErrTimeout = errors.New("no answer in time")
	// ErrCancelled: the context ended; the request may have run.
	ErrCancelled = errors.New("exchange was cancelled")
)
