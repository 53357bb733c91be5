package engine

import (
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

// startError turns a transport's error into this layer's: ErrUnreachable when
// no connection was made, and an error that leaves open whether the call took
// effect otherwise.
func startError(trace *connectTrace, err error) error {
	if !trace.connected.Load() {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	return errors.Wrap(err, "backend server gave no answer")
}

// statusError turns an error status into this layer's error and closes the
// answer. A client error or "service unavailable" is a refusal. After any
// other status the request may have run in part, so that it is no
// RejectedError.
func statusError(resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	if err != nil {
		body = nil
	}
	if isRefusal(resp.StatusCode) {
		return &RejectedError{Status: resp.StatusCode, Body: body}
	}
	return errors.Errorf("backend server failed with status %d", resp.StatusCode)
}

func isRefusal(status int) bool {
	if status == http.StatusServiceUnavailable || status == http.StatusNotImplemented {
		return true
	}
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError
}
