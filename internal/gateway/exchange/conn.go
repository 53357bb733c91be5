package exchange

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

// readBufferSize holds an answer's head and a few events, in bytes. There is one
// for each open connection, idle ones included.
const readBufferSize = 4 << 10

// conn is one connection to a backend server. It carries one request at a
// time.
type conn struct {
	netConn net.Conn
	reader  *bufio.Reader
	peer    Peer
	// keepAlive is how long the backend server leaves it open when idle.
	keepAlive time.Duration
	// idleSince is when its last exchange ended.
	idleSince time.Time
}

func newConn(netConn net.Conn, peer Peer) *conn {
	return &conn{netConn: netConn, reader: bufio.NewReaderSize(netConn, readBufferSize), peer: peer, keepAlive: defaultKeepAlive}
}

// reusable reports whether an idle connection is open and nothing came on it.
// Bytes that came belong to no request: an answer that came twice or late.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	syscallConn, ok := c.netConn.(syscall.Conn)
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

// expired reports whether the backend server may be about to close it.
func (c *conn) expired(now time.Time) bool {
	return now.Sub(c.idleSince) >= c.keepAlive
}

func (c *conn) close() { _ = c.netConn.Close() }
