package gateway

import (
	"net/http"
	"sync"
	"sync/atomic"
)

// blockableHandler is an HTTP handler that sends no responses while it is blocked. It counts the reads
// of the store's tables.
type blockableHandler struct {
	http.Handler
	blocked atomic.Bool
	// mu guards reads, the number of reads by table. No other lock is acquired while it is held.
	mu    sync.Mutex
	reads map[string]int
}

// readCount returns the number of reads of a table, long polls included.
func (h *blockableHandler) readCount(table string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reads[table]
}

// countRead counts a request that reads a table.
func (h *blockableHandler) countRead(r *http.Request) {
	if r.Method != http.MethodGet {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reads[r.URL.Query().Get("table")]++
}

// ServeHTTP implements http.Handler.
func (h *blockableHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.countRead(r)
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
