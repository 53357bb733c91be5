package exchange

import (
	"net"
	"time"

	"github.com/sourcegraph/conc"
)

// requestWriter writes a large request while its response is being read.
type requestWriter struct {
	netConn   net.Conn
	goroutine conc.WaitGroup
	// done is closed when the write has ended, with err.
	done chan struct{}
	err  error
}

func startRequestWriter(netConn net.Conn, data []byte) *requestWriter {
	w := &requestWriter{netConn: netConn, done: make(chan struct{})}
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

// stop ends the write if it is still in progress, and returns its result. The error of a write that was
// stopped wraps os.ErrDeadlineExceeded. Nothing can be written on the connection afterwards.
func (w *requestWriter) stop() error {
	// An error means that the connection is closed, which also ends the write.
	_ = w.netConn.SetWriteDeadline(time.Unix(1, 0))
	w.wait()
	return w.err
}

// wait waits for the end of the write. It doesn't return while a backend server neither reads the request
// nor closes the connection.
func (w *requestWriter) wait() { w.goroutine.Wait() }
