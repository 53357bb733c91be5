package gateway_test

import (
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/gateway"
)

// The gateway detects that a client closes or resets its connection, also when more bytes
// follow the request, and cancels the request at the server.
func TestLeavingIsNoticed(t *testing.T) {
	reset := func(c *conn) {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	shut := func(c *conn) { _ = c.Close() }
	for name, leave := range map[string]func(*conn){"closes": shut, "resets": reset} {
		for beside, text := range map[string]string{
			"": "", " after an extra line end": "\r\n", " after the next request": head("POST", "/safe/x", "next"),
		} {
			t.Run(name+beside, func(t *testing.T) {
				t.Parallel()
				f, server := served(t, gateway.Options{})
				server.Do(gateway.Hang)
				c := connect(t, f)
				c.send(post("/stream/x", "left", 4) + "body")
				f.Wait("the request to reach the server", func() bool { return len(f.Arrivals("left")) > 0 })
				if text != "" {
					c.send(text)
				}
				leave(c)
				select {
				case <-f.Arrivals("left")[0].Left:
				case <-time.After(noticed):
					t.Error("the request is still running 500 ms after its client disconnected")
				}
				// The pipelined request has no client any more.
				if n := len(f.Arrivals("next")); n > 0 {
					t.Errorf("the next request reached %d servers", n)
				}
			})
		}
	}
}
