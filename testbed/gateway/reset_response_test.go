package gateway_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/applepier/applepier/internal/dial/dialtest"
	"github.com/applepier/applepier/testbed/gateway"
)

// startResettingServer lists a server that begins a response before it has read the request, without a
// length, and resets the connection after the given part of the body.
func startResettingServer(t *testing.T, f *gateway.Fixture, part string) {
	t.Helper()
	addr := dialtest.ServeEarly(t, func(c *net.TCPConn, r *http.Request) {
		_, _ = io.WriteString(c, gateway.ResponseHead(&gateway.ReceivedRequest{Server: "s", ID: r.Header.Get("X-Request-Id")}, http.StatusOK)+part)
		time.Sleep(20 * time.Millisecond)
		_ = c.SetLinger(0)
	})
	f.ListServer(&gateway.Server{Instance: "s", Addr: addr}, "ready")
}

// Guards against a response cut by a reset that looks complete to the caller, whether it is buffered,
// forwarded as it arrives or a stream.
func TestResetResponseDoesNotLookComplete(t *testing.T) {
	cases := map[string]struct{ path, part string }{
		"buffered": {"/unsafe/x", strings.Repeat("half", 100)},
		"long":     {"/unsafe/x", longBody},
		"stream":   {"/stream/x", gateway.Event(1) + gateway.Event(2)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := gateway.NewFixture(t, gateway.Options{})
			startResettingServer(t, f, c.part)
			f.SetBodyLimit(2, 2*dialtest.UnreadBody)
			f.WaitFor("the server to be used", func() bool { return f.Post("/unsafe/x", "first").Status != http.StatusServiceUnavailable })
			for i := range 8 {
				got := f.Do(f.Request(context.Background(), http.MethodPost, c.path, fmt.Sprintf("cut-%d", i), bytes.NewReader(make([]byte, dialtest.UnreadBody))))
				if got.Err == nil && got.Status != http.StatusBadGateway {
					t.Fatalf("request %d: %d that looks complete, with %d bytes; want 502 or a response that breaks off", i, got.Status, len(got.Body))
				}
			}
		})
	}
}
