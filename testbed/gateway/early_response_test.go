package gateway_test

import (
	"bytes"
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

// Guards against a part of a response that looks complete: its server begins it, without a length, before it
// has read a long request, and breaks the connection off while the request is still being written. The part is
// shorter and longer than what a gateway buffers, and the caller reads slowly or not.
func TestPartOfEarlyResponseDoesNotLookComplete(t *testing.T) {
	t.Parallel()
	ends := map[string]func(*net.TCPConn){
		"reset": func(c *net.TCPConn) { _ = c.SetLinger(0) },
		// The host resets a connection that is closed with unread bytes.
		"closed unread":            func(c *net.TCPConn) { dialtest.AwaitUnread(t, c) },
		"reset after a short time": func(c *net.TCPConn) { time.Sleep(20 * time.Millisecond); _ = c.SetLinger(0) },
	}
	for name, end := range ends {
		for _, part := range []int{0, 4 << 10, 300 << 10, 600 << 10} {
			for _, slow := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%d bytes/slow=%v", name, part, slow), func(t *testing.T) {
					t.Parallel()
					f := gateway.NewFixture(t, gateway.Options{})
					addr := dialtest.ServeEarly(t, func(c *net.TCPConn, r *http.Request) {
						_, _ = io.WriteString(c, gateway.ResponseHead(&gateway.ReceivedRequest{Server: "s", ID: r.Header.Get("X-Request-Id")}, http.StatusOK)+strings.Repeat("x", part))
						end(c)
					})
					f.ListServer(&gateway.Server{Instance: "s", Addr: addr}, "ready")
					f.SetBodyLimit(2, 2*dialtest.UnreadBody)
					f.WaitFor("the server to be used", func() bool { return f.Post("/unsafe/x", "first").Status != http.StatusServiceUnavailable })
					for i := range 4 {
						complete, status, got := postSlowly(t, f, fmt.Sprintf("part-%d", i), slow)
						if complete && status != http.StatusBadGateway {
							t.Fatalf("request %d: status %d that looks complete, with %d bytes; want 502 or a response that breaks off", i, status, got)
						}
					}
				})
			}
		}
	}
}

// postSlowly sends a request that doesn't fit the host's buffers and reads the response, if slow is set with a
// pause between reads. It returns whether the response looks complete, its status and the length of its body.
func postSlowly(t *testing.T, f *gateway.Fixture, id string, slow bool) (complete bool, status, length int) {
	t.Helper()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(f.Request(t.Context(), http.MethodPost, "/unsafe/x", id, bytes.NewReader(make([]byte, dialtest.UnreadBody))))
	if err != nil {
		return false, 0, 0
	}
	defer func() { _ = resp.Body.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := resp.Body.Read(buffer)
		length += n
		if err != nil {
			return err == io.EOF, resp.StatusCode, length
		}
		if slow {
			time.Sleep(5 * time.Millisecond)
		}
	}
}
