package dial_test

import (
	"context"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/dial"
)

// scriptedConn is a connection at its end, whose write returns err before the end is read or only when it is
// stopped.
type scriptedConn struct {
	net.Conn
	err      error
	early    bool
	writing  chan struct{}
	stopping chan struct{}
}

func (c *scriptedConn) Write(p []byte) (int, error) {
	close(c.writing)
	if !c.early {
		<-c.stopping
	}
	return 0, c.err
}

func (c *scriptedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *scriptedConn) SetWriteDeadline(time.Time) error { close(c.stopping); return nil }

// Guards against a reset that looks like the peer's close, because a concurrent write got it, in either
// order of the two calls.
func TestEndIsReportedAsReset(t *testing.T) {
	cases := map[string]struct {
		err   error
		reset bool
	}{
		"no error":           {nil, false},
		"in progress":        {os.ErrDeadlineExceeded, false},
		"closed, then reset": {syscall.EPIPE, false},
		"reset":              {syscall.ECONNRESET, true},
		"unacknowledged":     {syscall.ETIMEDOUT, true},
	}
	for name, c := range cases {
		for _, early := range []bool{true, false} {
			inner := &scriptedConn{err: c.err, early: early, writing: make(chan struct{}), stopping: make(chan struct{})}
			conn, err := dial.WithResetDetection(func(context.Context, string, string) (net.Conn, error) { return inner, nil })(t.Context(), "tcp", "server")
			if err != nil {
				t.Fatal(err)
			}
			written := make(chan struct{})
			go func() {
				defer close(written)
				_, _ = conn.Write([]byte("request"))
			}()
			<-inner.writing
			if early {
				<-written
			}
			_, err = conn.Read(make([]byte, 1))
			if want := map[bool]error{true: c.err, false: io.EOF}[c.reset]; !errors.Is(err, want) {
				t.Errorf("%s, before the end is read: %v: got %v, want %v", name, early, err, want)
			}
			<-written
		}
	}
}
