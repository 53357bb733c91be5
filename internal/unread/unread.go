// Package unread sends responses to requests whose bodies have not been read
// completely. net/http reads up to 256 KiB of such a body before it sends a response,
// for as long as the read deadline allows. A connection that is closed with unread
// bytes is reset, so that the caller may never receive the response. Start reading at
// Respond.
package unread

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxDrainBytes bounds how much of a body is read before, and again after, a
	// response.
	maxDrainBytes = 256 << 10
	// drainTimeout bounds reading the body before the response, which allows the
	// connection to be reused. lingerTimeout bounds reading it after the response
	// on a connection that is about to be closed, so that a caller that is still
	// sending over a slow link can read the response before a reset.
	drainTimeout  = 500 * time.Millisecond
	lingerTimeout = time.Second
)

// Respond sends the response of a server to r by calling writeResponse, which must
// write a complete response with a Content-Length. The connection stays open if the
// rest of the body is shorter than maxDrainBytes and arrives within drainTimeout;
// otherwise it is closed. bodyTimedOut reports that the server has already waited for
// the body in vain; the connection is then closed without another wait before the
// response. Respond may set read deadlines; it clears them if the connection stays open.
func Respond(w http.ResponseWriter, r *http.Request, bodyTimedOut bool, writeResponse func()) {
	if !bodyTimedOut && drainBody(w, r.Body) {
		writeResponse()
		return
	}
	w.Header().Set("Connection", "close")
	writeResponse()
	control := http.NewResponseController(w)
	_ = control.Flush()
	// If the deadline cannot be set, the timeouts of the server apply.
	_ = control.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = discardBody(r.Body)
}

// drainBody reads the rest of a body and reports whether it reached the end in time,
// so that the connection can be reused. It clears the read deadline itself: net/http
// does so only when it reaches the end of the body, not if the end was read earlier.
// In that case its background read is already running, and an expired deadline there
// would cancel the request's context as if the caller had disconnected.
func drainBody(w http.ResponseWriter, body io.Reader) bool {
	if body == http.NoBody {
		return true
	}
	clearDeadline := setReadDeadline(w, drainTimeout)
	n, err := discardBody(body)
	return n < maxDrainBytes && errors.Is(err, io.EOF) && !clearDeadline()
}

// discardBody reads up to maxDrainBytes of a body and returns how many bytes it read.
// The error is nil if it read maxDrainBytes, and io.EOF if the body ended before.
func discardBody(body io.Reader) (int64, error) {
	return io.CopyN(io.Discard, body, maxDrainBytes)
}

// setReadDeadline sets the read deadline to timeout from now. The returned function
// clears it and reports whether it had expired.
func setReadDeadline(w http.ResponseWriter, timeout time.Duration) (clearDeadline func() bool) {
	control := http.NewResponseController(w)
	deadline := time.Now().Add(timeout)
	_ = control.SetReadDeadline(deadline)
	return func() bool {
		_ = control.SetReadDeadline(time.Time{})
		return !time.Now().Before(deadline)
	}
}
