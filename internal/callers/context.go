package callers

import (
	"context"
	"net"
)

// connKey is the context key of a request's connection.
type connKey struct{}

// withConn stores the connection in the context of its requests; it is net/http's
// ConnContext hook.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ConnStatusOf returns the status of the connection of a request's context, or the zero
// value if the context has none.
func ConnStatusOf(ctx context.Context) ConnStatus {
	if conn, ok := ctx.Value(connKey{}).(*Conn); ok {
		return conn.status()
	}
	return ConnStatus{}
}

// ResetOnClose makes the connection of a request's context close with a TCP reset, so
// that a response whose end is marked by the close isn't taken for complete.
func ResetOnClose(ctx context.Context) {
	conn, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return
	}
	if tcp, ok := conn.Conn.(interface{ SetLinger(int) error }); ok {
		// An error means that the connection is closed already.
		_ = tcp.SetLinger(0)
	}
}
