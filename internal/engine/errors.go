package engine

import (
	"io"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/httpstatus"
)

// startError converts a transport error. It returns ErrUnreachable when no
// connection was made. After any other error it is unknown whether the call took
// effect.
func startError(trace *connectTrace, err error) error {
	if !trace.connected.Load() {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	return errors.Wrap(err, "backend server did not respond")
}

// statusError converts an error status and closes the response body. A client
// error, "not implemented" and "service unavailable" are returned as a
// RejectedError. After any other status the request may have run in part, so
// the result is not a RejectedError.
func statusError(resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	if !httpstatus.IsFinal(resp.StatusCode) {
		// What follows the header may be anything; that of a 101 doesn't end with the response.
		return errors.Errorf("backend server responded with invalid status %d", resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	if err != nil {
		body = nil
	}
	if isRejection(resp.StatusCode) {
		return &RejectedError{Status: resp.StatusCode, Body: body}
	}
	return errors.Errorf("backend server responded with status %d", resp.StatusCode)
}

// isRejection reports whether a request with this status did not run.
func isRejection(status int) bool {
	if status == http.StatusServiceUnavailable || status == http.StatusNotImplemented {
		return true
	}
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError
}
