package api

import (
	"net/http"

	"github.com/applepier/applepier/internal/claim"
)

// recorder keeps a copy of the answer to a call with an idempotency key, up to
// what a claim may hold.
type recorder struct {
	http.ResponseWriter
	status int
	body   []byte
	over   bool
}

func newRecorder(w http.ResponseWriter) *recorder {
	return &recorder{ResponseWriter: w, status: http.StatusOK}
}

// Unwrap lets http.ResponseController reach the connection.
func (r *recorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// WriteHeader notes the status.
func (r *recorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// Write notes the body.
func (r *recorder) Write(p []byte) (int, error) {
	if len(r.body)+len(p) > claim.MaxAnswer {
		r.over = true
		r.body = nil
	}
	if !r.over {
		r.body = append(r.body, p...)
	}
	return r.ResponseWriter.Write(p)
}

// answer is the whole body, or nil when it is too long to be kept.
func (r *recorder) answer() []byte {
	if r.over {
		return nil
	}
	if r.body == nil {
		return []byte{}
	}
	return r.body
}
