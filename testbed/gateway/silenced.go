package gateway

import (
	"net/http"
	"sync/atomic"
)

// silenced is a gateway's way to the store, on which nothing comes back while it is silent.
type silenced struct {
	http.Handler
	silent atomic.Bool
}

// ServeHTTP implements http.Handler.
func (s *silenced) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.Handler.ServeHTTP(silencedWriter{w, r, &s.silent}, r)
}

// silencedWriter holds an answer back that begins while the way is silent, until the caller
// gives up.
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

// Unwrap is what http.ResponseController asks for.
func (w silencedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
