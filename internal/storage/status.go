package storage

import (
	"net/http"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/httpstatus"
)

// readStatus maps the HTTP status of a read to one of this package's errors.
func readStatus(status int) error {
	switch {
	case httpstatus.IsSuccess(status):
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	default:
		return errors.Wrapf(ErrUnavailable, "status %d", status)
	}
}

// writeStatus maps the HTTP status of a write to one of this package's errors.
// Nothing was written if the status is 3xx, 4xx or 503 Service Unavailable.
// After any other 5xx status, and after one that HTTP doesn't have, the outcome is unknown.
func writeStatus(status int) error {
	switch {
	case httpstatus.IsSuccess(status):
		return nil
	case !httpstatus.IsFinal(status):
		return errors.Wrapf(ErrOutcomeUnknown, "invalid status %d", status)
	case status == http.StatusConflict:
		return ErrConflict
	case status == http.StatusServiceUnavailable, status < http.StatusInternalServerError:
		return errors.Wrapf(ErrUnavailable, "status %d", status)
	default:
		return errors.Wrapf(ErrOutcomeUnknown, "status %d", status)
	}
}
