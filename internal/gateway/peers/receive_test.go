package peers

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

// brokenConn is a socket on which each read fails at once.
type brokenConn struct {
	net.PacketConn
	reads atomic.Int64
}

func (c *brokenConn) ReadFrom([]byte) (int, net.Addr, error) {
	c.reads.Add(1)
	return 0, &net.UDPAddr{}, errors.New("broken")
}

// Guards against a socket error that lasts and takes all of the processor.
func TestLastingSocketErrorDoesNotSpin(t *testing.T) {
	conn := &brokenConn{}
	m := &Mesh{Config: Config{Log: zap.NewNop()}, conn: conn, table: newTable()}
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	m.receiveLoop(ctx)
	if n := conn.reads.Load(); n < 2 || n > 10 {
		t.Errorf("%d reads in 300 ms", n)
	}
}
