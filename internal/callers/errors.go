package callers

import "github.com/go-faster/errors"

// ErrDrainTimeout: requests were still in progress when the drain's context ended;
// their connections were closed.
var ErrDrainTimeout = errors.New("drain timed out: requests in progress were aborted")
