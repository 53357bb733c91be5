package gateway

import (
	"net/http"
	"time"
)

// slowLink passes answers on at a rate, as a narrow link does.
type slowLink struct {
	http.Handler
	// rate is in bytes a second; 0 for no bound.
	rate int
}

// pieces is how many pieces of an answer pass in a second.
const pieces = 20

// ServeHTTP implements http.Handler.
func (l slowLink) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if l.rate > 0 {
		w = slowWriter{w, l.rate / pieces}
	}
	l.Handler.ServeHTTP(w, r)
}

// slowWriter writes an answer piece by piece.
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
		// An answer that can't be flushed comes with the next piece.
		_ = http.NewResponseController(w.ResponseWriter).Flush()
		written, p = written+n, p[n:]
	}
	return written, err
}
