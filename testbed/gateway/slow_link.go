package gateway

import (
	"net/http"
	"time"
)

// throttledHandler limits the rate of responses, to simulate a slow link.
type slowLink struct {
	http.Handler
	// rate is in bytes per second; 0 means no limit.
	rate int
}

// chunksPerSecond is the number of chunks in which a second's bytes are written.
const pieces = 20

// ServeHTTP implements http.Handler.
func (l slowLink) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if l.rate > 0 {
		w = slowWriter{w, l.rate / pieces}
	}
	l.Handler.ServeHTTP(w, r)
}

// throttledWriter writes a response in chunks, with a pause between them.
type slowWriter struct {
	http.ResponseWriter
	piece int
}

// Write implements io.Writer.
func (w slowWriter) Write(p []byte) (written int, err error) {
	for len(p) > 0 && err == nil {
		n := min(len(p), w.piece)
		if len(p) > n {
			time.Sleep(time.Second / pieces)
		}
		n, err = w.ResponseWriter.Write(p[:n])
		// Data that can't be flushed is sent with the next chunk.
		_ = http.NewResponseController(w.ResponseWriter).Flush()
		written, p = written+n, p[n:]
	}
	return written, err
}
