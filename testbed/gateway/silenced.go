package gateway

import (
	"net/http"
	"sync/atomic"
)

// blockableHandler holds back responses while it is blocked.
type silenced struct {
	http.Handler
	silent atomic.Bool
}

// ServeHTTP implements http.Handler.
func (s *silenced) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.Handler.ServeHTTP(silencedWriter{w, r, &s.silent}, r)
}

// blockableWriter holds back a response whose header is written while the handler is blocked,
// until the client gives up.
type silencedWriter struct {
	http.ResponseWriter
	request *http.Request
	silent  *atomic.Bool
}

// WriteHeader implements http.ResponseWriter.
func (w silencedWriter) WriteHeader(status int) {
	if w.silent.Load() {
		<-w.request.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap supports http.ResponseController.
func (w silencedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
