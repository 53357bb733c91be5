package exchange

import (
	"bytes"
	"net/http"
	"strconv"
	"time"
)

// Request is an HTTP request to a backend server.
type Request struct {
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// MaxIdle bounds how long a pooled connection may have been idle. It is short for requests that
	// must not run twice, since a recently used connection is less likely to be closed meanwhile.
	MaxIdle time.Duration
	// MaySend is called once a connection is open, immediately before the request is sent on it, and
	// reports whether it still may be; may be nil. Opening a connection takes time.
	MaySend func() bool
	// OnHeader is called with the status and header of each final response on the connection, also of
	// those that are skipped; may be nil.
	OnHeader func(status int, h http.Header)
	// Matches reports whether a response header belongs to this request. Responses to other requests,
	// such as late ones to earlier requests, are skipped.
	Matches func(http.Header) bool
}

// encode returns the request in the HTTP/1.1 wire format.
func (r *Request) encode() []byte {
	var buf bytes.Buffer
	buf.Grow(512 + len(r.Body))
	buf.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// Writing to a bytes.Buffer doesn't fail.
	_ = r.Header.Write(&buf)
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		buf.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	buf.WriteString("\r\n")
	buf.Write(r.Body)
	return buf.Bytes()
}
