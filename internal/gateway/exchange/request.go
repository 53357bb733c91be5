package exchange

import (
	"bytes"
	"net/http"
	"strconv"
	"time"
)

// Request is a request as it is written to a backend server.
type Request struct {
	Method string
	// Target is the path and query, as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Young bounds how long a kept connection may have been idle. Requests
	// that run once at most are safer on one that was in use just now.
	Young time.Duration
	// Mine reports whether an answer's headers are of this request. Others
	// are late answers of earlier requests and are passed over.
	Mine func(http.Header) bool
}

// encode is the request's form on the connection.
func (r *Request) encode() []byte {
	var buf bytes.Buffer
	buf.Grow(512 + len(r.Body))
	buf.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// Writing to a buffer doesn't fail.
	_ = r.Header.Write(&buf)
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		buf.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	buf.WriteString("\r\n")
	buf.Write(r.Body)
	return buf.Bytes()
}
