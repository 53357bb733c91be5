// Package unread answers requests whose bodies haven't been read whole. net/http
// reads up to 256 KiB of such a body before it sends an answer, for as long as
// the deadline for reading allows, and a connection that is closed with bytes
// unread is reset, so that its caller may never see the answer. Start reading at
// Answer.
package unread

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

const (
	// drained is up to how many bytes of a body are read around an answer.
	drained = 256 << 10
	// drainWait is how long a body is read before the answer, so that the
	// connection can be kept, and lingerWait how long after it on a connection
	// that is closed: time enough for a caller that sends on a slow link to come
	// to the answer.
	drainWait  = 500 * time.Millisecond
	lingerWait = time.Second
)

// Answer calls answer for a request that a server has received; answer must write
// a whole answer with its length. The connection is kept if the rest of the body
// comes at once; late says that it was waited for already. It may set the deadline
// for reading, and leaves one behind only on a connection that is closed.
func Answer(w http.ResponseWriter, r *http.Request, late bool, answer func()) {
	if !late && drain(w, r.Body) {
		answer()
		return
	}
	w.Header().Set("Connection", "close")
	answer()
	control := http.NewResponseController(w)
	_ = control.Flush()
	// Where a deadline can't be set the server's own time-outs hold.
	_ = control.SetReadDeadline(time.Now().Add(lingerWait))
	_, _ = discard(r.Body)
}

// drain reads what is left of a body and reports whether that was all of it and
// the connection can be kept. net/http takes the deadline away when it comes to a
// body's end, but not if that had been read before: it watches the connection
// already then, and takes the caller for gone if the deadline passes.
func drain(w http.ResponseWriter, body io.Reader) bool {
	if body == http.NoBody {
		return true
	}
	late := setReadDeadline(w, drainWait)
	n, err := discard(body)
	return n < drained && errors.Is(err, io.EOF) && !late()
}

func discard(body io.Reader) (int64, error) {
	return io.CopyN(io.Discard, body, drained)
}

// setReadDeadline sets a deadline for reading. The function that it returns takes
// it back and reports whether it had passed.
func setReadDeadline(w http.ResponseWriter, wait time.Duration) (late func() bool) {
	control := http.NewResponseController(w)
	deadline := time.Now().Add(wait)
	_ = control.SetReadDeadline(deadline)
	return func() bool {
		_ = control.SetReadDeadline(time.Time{})
		return !time.Now().Before(deadline)
	}
}
