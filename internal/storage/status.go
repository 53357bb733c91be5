package storage

import (
	"net/http"

	"github.com/go-faster/errors"
)

// readStatus turns a read's HTTP status into this layer's error.
func readStatus(status int) error {
	switch {
	case status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	default:
		return errors.Wrapf(ErrUnavailable, "status %d", status)
	}
}

// writeStatus turns a write's HTTP status into this layer's error. A client
// error and "service unavailable" are refusals: nothing was written. Any other
// error status leaves the outcome open.
func writeStatus(status int) error {
	switch {
	case status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusConflict:
		return ErrConflict
	case status == http.StatusServiceUnavailable, status < http.StatusInternalServerError:
		return errors.Wrapf(ErrUnavailable, "status %d", status)
	default:
		return errors.Wrapf(ErrOutcomeUnknown, "status %d", status)
	}
}
