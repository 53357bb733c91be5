package callers

import "net"

// listener wraps each accepted connection in a Conn, and resets those that the server refuses.
type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.server.refuse == nil || !l.server.refuse() {
			return &Conn{Conn: c, server: l.server}, nil
		}
		reset(c)
	}
}

// reset closes a connection so that its caller knows at once that nothing was read.
func reset(c net.Conn) {
	resetOnClose(c)
	// An error means that the connection is closed already.
	_ = c.Close()
}

// resetOnClose makes the next Close of a TCP connection reset it.
func resetOnClose(c net.Conn) {
	if tcp, ok := c.(interface{ SetLinger(int) error }); ok {
		// An error means that the connection is closed already.
		_ = tcp.SetLinger(0)
	}
}
