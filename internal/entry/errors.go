package entry

import "github.com/go-faster/errors"

// Errors of an entry's start.
var (
	// ErrListen: an address of the settings can't be listened on.
	ErrListen = errors.New("cannot listen")
	// ErrKeys: a key of the settings can't be read.
	ErrKeys = errors.New("cannot read keys")
)
