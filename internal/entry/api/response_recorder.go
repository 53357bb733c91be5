package api

import (
	"net/http"

	"github.com/applepier/applepier/internal/claim"
)

// responseRecorder copies the response to a call with an idempotency key, up to
// claim.MaxResponseBytes bytes of body.
type responseRecorder struct {
	http.ResponseWriter
	status  int
	body    []byte
	tooLong bool
}

func newResponseRecorder(w http.ResponseWriter) *responseRecorder {
	return &responseRecorder{ResponseWriter: w, status: http.StatusOK}
}

// Unwrap gives http.ResponseController access to the connection.
func (r *responseRecorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// WriteHeader records and forwards the status.
func (r *responseRecorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// Write records and forwards a part of the body.
func (r *responseRecorder) Write(p []byte) (int, error) {
	if len(r.body)+len(p) > claim.MaxResponseBytes {
		r.tooLong = true
		r.body = nil
	}
	if !r.tooLong {
		r.body = append(r.body, p...)
	}
	return r.ResponseWriter.Write(p)
}

// recordedBody returns the complete body, or nil if it is too long to be stored.
func (r *responseRecorder) recordedBody() []byte {
	if r.tooLong {
		return nil
	}
	if r.body == nil {
		return []byte{}
	}
	return r.body
}
