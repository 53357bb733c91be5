package callers

import (
	"context"
	"net"
)

// connKey is where a request's context has its connection.
type connKey struct{}

// withConn gives requests their connection; it is net/http's ConnContext.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// EndOf says how the connection of a request's context stands; zero where it
// has none.
func EndOf(ctx context.Context) End {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		return c.stands()
	}
	return End{}
}

// Reset has the connection of a request's context end with a reset when it is
// closed, so that an answer that ends with it doesn't look whole.
func Reset(ctx context.Context) {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return
	}
	if lingers, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		// On a connection that is closed already there is nothing to be reset.
		_ = lingers.SetLinger(0)
	}
}
