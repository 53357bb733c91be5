package gateway

import "github.com/go-faster/errors"

// ErrListen is returned by Serve when it can't listen on one of the configured addresses.
var ErrListen = errors.New("cannot listen")
