package gateway

import (
	"net/http"
	"time"
)

// throttledHandler is an HTTP handler that limits the rate of responses, to simulate a slow link.
type throttledHandler struct {
	http.Handler
	// bytesPerSecond limits each response; 0 means no limit.
	bytesPerSecond int
}

// chunksPerSecond is the number of chunks in which a second's bytes are written.
const chunksPerSecond = 20

// ServeHTTP implements http.Handler.
func (h throttledHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.bytesPerSecond > 0 {
		w = throttledWriter{w, h.bytesPerSecond / chunksPerSecond}
	}
	h.Handler.ServeHTTP(w, r)
}

// throttledWriter writes a response in chunks, with a pause between them.
type throttledWriter struct {
	http.ResponseWriter
	chunkSize int
}

// Write implements io.Writer.
func (w throttledWriter) Write(p []byte) (written int, err error) {
	for len(p) > 0 && err == nil {
		n := min(len(p), w.chunkSize)
		if len(p) > n {
			time.Sleep(time.Second / chunksPerSecond)
		}
		n, err = w.ResponseWriter.Write(p[:n])
		// Data that can't be flushed is sent with the next chunk.
		_ = http.NewResponseController(w.ResponseWriter).Flush()
		written, p = written+n, p[n:]
	}
	return written, err
}
