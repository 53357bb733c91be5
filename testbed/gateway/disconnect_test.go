package gateway_test

import (
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/gateway"
)

// The gateway detects that a caller closes or resets its connection, also when more bytes
// follow the request, and cancels the request at the server.
func TestDisconnectIsDetected(t *testing.T) {
	reset := func(c *rawConn) {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	closeConn := func(c *rawConn) { _ = c.Close() }
	for name, disconnect := range map[string]func(*rawConn){"closes": closeConn, "resets": reset} {
		for suffix, extra := range map[string]string{
			"": "", " after an extra line end": "\r\n", " after the next request": requestHead("POST", "/safe/x", "next"),
		} {
			t.Run(name+suffix, func(t *testing.T) {
				t.Parallel()
				f, server := newServingFixture(t, gateway.Options{})
				server.SetScript(gateway.Hang)
				c := dialRaw(t, f)
				c.send(postHead("/stream/x", "left", 4) + "body")
				f.WaitFor("the request to reach the server", func() bool { return len(f.ReceivedRequests("left")) > 0 })
				if extra != "" {
					c.send(extra)
				}
				disconnect(c)
				select {
				case <-f.ReceivedRequests("left")[0].Closed:
				case <-time.After(closeDetectionTime):
					t.Error("the request is still running 500 ms after its caller disconnected")
				}
				// The pipelined request has no caller any more.
				if n := len(f.ReceivedRequests("next")); n > 0 {
					t.Errorf("the next request reached %d servers", n)
				}
			})
		}
	}
}
