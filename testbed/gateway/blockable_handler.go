package gateway

import (
	"net/http"
	"sync/atomic"
)

// blockableHandler is an HTTP handler that sends no responses while it is blocked.
type blockableHandler struct {
	http.Handler
	blocked atomic.Bool
}

// ServeHTTP implements http.Handler.
func (h *blockableHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.Handler.ServeHTTP(blockableWriter{w, r, &h.blocked}, r)
}

// blockableWriter is the response writer of a blockableHandler. While the handler is blocked,
// WriteHeader waits until the HTTP client gives up and then aborts the response.
type blockableWriter struct {
	http.ResponseWriter
	request *http.Request
	blocked *atomic.Bool
}

// WriteHeader implements http.ResponseWriter.
func (w blockableWriter) WriteHeader(status int) {
	if w.blocked.Load() {
		<-w.request.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap supports http.ResponseController.
func (w blockableWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
