package dial

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// Func opens a connection, as net.Dialer.DialContext does.
type Func func(ctx context.Context, network, addr string) (net.Conn, error)

// WithResetDetection returns a Func that opens connections with DetectResets.
func WithResetDetection(dial Func) Func {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return DetectResets(c), nil
	}
}

// DetectResets returns a connection whose io.EOF always means that the peer closed it. The host reports an
// error of a connection once: if a write got it, reading finds the end of the data. Such an end is reported
// with the write's error. It is for clients that need nothing more from a connection after its end: a write
// that is in progress then is stopped.
func DetectResets(c net.Conn) net.Conn { return &resetConn{Conn: c} }

// resetConn is a connection with reset detection.
type resetConn struct {
	net.Conn
	// writing is held during a write, and guards writeErr, the first error of a write.
	writing  sync.Mutex
	writeErr error
}

// Write implements net.Conn.
func (c *resetConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if writeErr := c.stopWrite(); !endsWithClose(writeErr) {
		return n, writeErr
	}
	return n, err
}

// stopWrite ends a write in progress and returns the first error of a write.
func (c *resetConn) stopWrite() error {
	// An error means that the connection is closed, which also ends the write.
	_ = c.Conn.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeErr
}

// endsWithClose reports whether the end of the data is where the peer closed the connection, given the
// first error of a write. EPIPE is a reset that arrived after the peer's close. A write that was stopped,
// with an error that wraps os.ErrDeadlineExceeded, got no error of the connection.
func endsWithClose(writeErr error) bool {
	return writeErr == nil || errors.Is(writeErr, os.ErrDeadlineExceeded) || errors.Is(writeErr, syscall.EPIPE)
}
