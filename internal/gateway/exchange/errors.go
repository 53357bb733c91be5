package exchange

import "github.com/go-faster/errors"

// Errors of an exchange. Each one states whether the request may have run, which determines the
// response to the caller.
var (
	// ErrNotSent means that no byte of the request left this process, so it didn't run.
	ErrNotSent = errors.New("request not sent")
	// ErrWithheld means that Request.MaySend rejected the request, so it wasn't sent and didn't run.
	ErrWithheld = errors.New("request withheld")
	// ErrIncomplete means that the connection ended or the response was malformed or incomplete;
	// the request may have run.
	ErrIncomplete = errors.New("incomplete response")
	// ErrTooLarge means that a part of the response exceeded its limit, as if it had no end; the request
	// may have run.
	ErrTooLarge = errors.New("response too large")
	// ErrTimeout means that nothing arrived in time; the request may have run.
	ErrTimeout = errors.New("response timeout")
	// ErrCancelled means that the context ended; the request may have run.
	ErrCancelled = errors.New("exchange cancelled")
)
