package callers

import (
	"context"
	"net"
)

// Listener accepts callers' connections as Conns.
type Listener struct{ net.Listener }

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c}, nil
}

// connKey is where a request's context has its connection.
type connKey struct{}

// Context gives requests their connection; it is the server's ConnContext.
func Context(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// EndOf says how the connection of a request's context stands; zero where it
// has none.
func EndOf(ctx context.Context) End {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		return c.End()
	}
	return End{}
}
