package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/applepier/applepier/testbed/gateway"
)

// cutResponse returns a script that sends the first bytes of a response and closes or resets the connection.
func cutResponse(lines []string, body string, length int, reset bool) gateway.Script {
	return func(c net.Conn, r *gateway.ReceivedRequest) bool {
		text := gateway.ResponseHead(r, http.StatusOK, lines...) + body
		_, _ = io.WriteString(c, text[:length])
		if conn, ok := c.(*net.TCPConn); ok && reset {
			_ = conn.SetLinger(0)
		}
		return false
	}
}

// Guards against a head that its server didn't complete and that callers get as a 200 with an empty or
// short body. The response is cut at each byte of its head.
func TestCutHeadIsNoSuccess(t *testing.T) {
	framings := map[string]struct {
		lines []string
		body  string
	}{
		"no length": {nil, ""},
		"length":    {[]string{"Content-Length: 5"}, "whole"},
		"events":    {[]string{"Content-Type: text/event-stream"}, ""},
	}
	for name, framing := range framings {
		for _, path := range []string{"/unsafe/x", "/safe/x", "/stream/x", "/resume/x"} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s%s reset=%v", name, path, reset), func(t *testing.T) {
					t.Parallel()
					f, server := newServingFixture(t, gateway.Options{})
					const id = "0123456789"
					head := len(gateway.ResponseHead(&gateway.ReceivedRequest{Server: server.Instance, ID: id}, http.StatusOK, framing.lines...))
					for cut := range head {
						server.SetScript(cutResponse(framing.lines, framing.body, cut, reset))
						got := f.Do(f.Request(context.Background(), http.MethodPost, path, id, nil))
						if got.Err != nil || got.Status != http.StatusBadGateway {
							t.Errorf("cut after %d of %d bytes of the head: %d, %q, %v; want 502", cut, head, got.Status, got.Body, got.Err)
						}
					}
				})
			}
		}
	}
}

// Guards against a request that may be repeated and fails because one server stops in the middle of its
// response's head.
func TestRequestIsRetriedAfterCutHead(t *testing.T) {
	f, server := newServingFixture(t, gateway.Options{})
	f.StartServer("other", gateway.Respond("whole"))
	f.WaitFor("the other server to be used", func() bool { f.Post("/safe/x", "first"); return f.Reached("first", "other") })
	for cut := range 60 {
		server.SetScript(cutResponse(nil, "", cut, cut%2 == 0))
		id := fmt.Sprintf("cut-%d", cut)
		if got := f.Post("/safe/x", id); got.Status != http.StatusOK || got.Body != "whole" {
			t.Errorf("cut after %d bytes: %d, %q, %v", cut, got.Status, got.Body, got.Err)
		}
	}
}
