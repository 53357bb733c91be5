package entry

import "github.com/go-faster/errors"

// Startup errors.
var (
	// ErrListen is returned when the process cannot listen on a configured address.
	ErrListen = errors.New("cannot listen")
	// ErrKeys is returned when a configured key is missing or cannot be read.
	ErrKeys = errors.New("cannot read keys")
)
