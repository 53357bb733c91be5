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
