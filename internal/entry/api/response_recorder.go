package api

import (
	"net/http"

	"github.com/applepier/applepier/internal/claim"
)

// recorder keeps a copy of the answer to a call with an idempotency key, up to
// what a claim may hold.
type responseRecorder struct {
	http.ResponseWriter
	status  int
	body    []byte
	tooLong bool
}

func newResponseRecorder(w http.ResponseWriter) *responseRecorder {
	return &responseRecorder{ResponseWriter: w, status: http.StatusOK}
}

// Unwrap lets http.ResponseController reach the connection.
func (r *responseRecorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// WriteHeader notes the status.
func (r *responseRecorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// Write notes the body.
func (r *responseRecorder) Write(p []byte) (int, error) {
	if len(r.body)+len(p) > claim.MaxAnswer {
		r.tooLong = true
		r.body = nil
	}
	if !r.tooLong {
		r.body = append(r.body, p...)
	}
	return r.ResponseWriter.Write(p)
}

// answer is the whole body, or nil when it is too long to be kept.
func (r *responseRecorder) recordedBody() []byte {
	if r.tooLong {
		return nil
	}
	if r.body == nil {
		return []byte{}
	}
	return r.body
}
