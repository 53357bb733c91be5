package exchange

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"github.com/applepier/applepier/internal/dial"
)

// readBufferSize is in bytes. It fits a response header and a few events; each open connection has
// such a buffer, including idle ones.
const readBufferSize = 4 << 10

// conn is a connection to a backend server. It carries one request at a time.
type conn struct {
	// netConn reports a reset to its reader also if a concurrent write got it. socket is the connection
	// below it.
	netConn, socket net.Conn
	// heads reads from netConn, and reader buffers what it reads.
	heads  *headReader
	reader *bufio.Reader
	// instance is the instance of the backend server that the connection leads to.
	instance ServerInstance
	// keepAlive is how long the connection may be idle and still be reused.
	keepAlive time.Duration
	// idleSince is when the last exchange ended.
	idleSince time.Time
}

func newConn(socket net.Conn, instance ServerInstance) *conn {
	netConn := dial.DetectResets(socket)
	heads := &headReader{netConn: netConn}
	return &conn{netConn: netConn, socket: socket, reader: bufio.NewReaderSize(heads, readBufferSize), heads: heads, instance: instance, keepAlive: defaultKeepAlive}
}

// reusable reports whether an idle connection is open and has no unread data. Unread data belongs
// to no request: it is a duplicate or late response.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	syscallConn, ok := c.socket.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = rawConn.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, readErr := syscall.Read(int(fd), buf[:])
		open = readErr == syscall.EAGAIN || readErr == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && open
}

// expired reports whether the backend server may be about to close the idle connection.
func (c *conn) expired(now time.Time) bool {
	return now.Sub(c.idleSince) >= c.keepAlive
}

func (c *conn) close() { _ = c.netConn.Close() }
