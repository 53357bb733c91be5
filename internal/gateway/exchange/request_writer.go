package exchange

import (
	"net"

	"github.com/sourcegraph/conc"
)

// requestWriter writes a large request while its response is being read.
type requestWriter struct {
	goroutine conc.WaitGroup
	// done is closed when the write has ended, with err.
	done chan struct{}
	err  error
}

func startRequestWriter(netConn net.Conn, data []byte) *requestWriter {
	w := &requestWriter{done: make(chan struct{})}
	w.goroutine.Go(func() {
		defer close(w.done)
		_, w.err = netConn.Write(data)
	})
	return w
}

// written reports whether the complete request has been written.
func (w *requestWriter) written() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// wait waits for the end of the write. It doesn't return while a backend server neither reads the request
// nor closes the connection.
func (w *requestWriter) wait() { w.goroutine.Wait() }
