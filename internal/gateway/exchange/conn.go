package exchange

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

// readBuffer holds an answer's head and a few events, in bytes. There is one
// for each open connection, idle ones included.
const readBuffer = 4 << 10

// conn is one connection to a backend server. It carries one request at a
// time.
type conn struct {
	net  net.Conn
	in   *bufio.Reader
	peer Peer
	// keep is how long the backend server leaves it open when idle.
	keep time.Duration
	// idleSince is when its last exchange ended.
	idleSince time.Time
}

func newConn(c net.Conn, peer Peer) *conn {
	return &conn{net: c, in: bufio.NewReaderSize(c, readBuffer), peer: peer, keep: idleKept}
}

// quiet reports whether an idle connection is open and nothing came on it.
// Bytes that came belong to no request: an answer that came twice or late.
func (c *conn) quiet() bool {
	if c.in.Buffered() > 0 {
		return false
	}
	raw, ok := c.net.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, readErr := syscall.Read(int(fd), one[:])
		open = readErr == syscall.EAGAIN || readErr == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && open
}

// stale reports whether the backend server may be about to close it.
func (c *conn) stale(now time.Time) bool {
	return now.Sub(c.idleSince) >= c.keep
}

func (c *conn) close() { _ = c.net.Close() }
