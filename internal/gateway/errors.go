package gateway

import "github.com/go-faster/errors"

// ErrListen: an address of the settings can't be listened on.
var ErrListen = errors.New("can't listen")
