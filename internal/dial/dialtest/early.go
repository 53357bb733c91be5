package dialtest

import (
	"bufio"
	"net"
	"net/http"
	"syscall"
	"testing"
)

// UnreadBody is the length of a request, in bytes, that doesn't fit the host's buffers: its client is still
// sending it when a server stops reading.
const UnreadBody = 12 << 20

// ServeEarly starts a server that calls respond for the first request on each connection once it has read
// the request's head, and then closes the connection. It returns the server's host:port.
func ServeEarly(t testing.TB, respond func(c *net.TCPConn, r *http.Request)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					respond(c.(*net.TCPConn), req)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// AwaitUnread waits until the host has received bytes on a connection that the server hasn't read, so that it
// resets the connection when the server closes it. Without any, a close looks like the end of the response.
func AwaitUnread(t testing.TB, c *net.TCPConn) {
	rawConn, err := c.SyscallConn()
	if err == nil {
		err = rawConn.Read(func(fd uintptr) bool {
			_, _, peekErr := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK)
			return peekErr != syscall.EAGAIN
		})
	}
	if err != nil {
		t.Error(err)
	}
}
