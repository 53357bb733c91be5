package callers

import "github.com/go-faster/errors"

// ErrBrokenOff: requests were still in progress when the time to end them was
// up; their connections were closed.
var ErrBrokenOff = errors.New("requests are broken off")
