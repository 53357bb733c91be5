package gateway_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/gateway"
)

// The gateway forwards target, method, body and end-to-end headers unchanged, removes reserved
// and hop-by-hop headers, and sets the customer, the instance and the remaining deadline.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	f := gateway.NewFixture(t, gateway.Options{})
	f.StartServer("i-1", gateway.Respond("whole"))
	f.WaitFor("the gateway to serve", func() bool { return f.Post("/safe/x", "warm").Status == 200 })
	req := f.Request(t.Context(), http.MethodPost, "/unsafe/a%2Fb//c/../d?q=%20&r", "id-1", strings.NewReader("body"))
	for name, value := range map[string]string{
		"X-Tenant": "forged", "X-Retain": "r", "X-Pin-Ms": "9", "X-Kv-Backup": "a", "Kv-From": "b", "Kv-Fetch": "c",
		"X-Request-Priority": "0", "X-Expect-Instance": "i-9", "X-Deadline-Ms": "900",
		"X-Own": "kept", "Connection": "X-Hop", "X-Hop": "dropped",
	} {
		req.Header.Set(name, value)
	}
	got := f.Do(req)
	if got.Status != 200 || got.Body != "whole" || got.Header.Get("X-Signature") != "by-i-1" || got.Err != nil {
		t.Fatalf("got %+v", got)
	}
	r := f.ReceivedRequests("id-1")[0]
	if r.Target != "/unsafe/a%2Fb//c/../d?q=%20&r" || r.Method != "POST" || r.Body != "body" {
		t.Errorf("arrived as %s %s %q", r.Method, r.Target, r.Body)
	}
	want := map[string]string{
		"X-Tenant": "crew", "X-Expect-Instance": "i-1", "X-Own": "kept", "X-Request-Id": "id-1",
		"Authorization": "", "X-Retain": "", "X-Pin-Ms": "", "X-Kv-Backup": "", "Kv-From": "", "Kv-Fetch": "", "X-Hop": "",
	}
	for name, value := range want {
		if r.Header.Get(name) != value {
			t.Errorf("%s arrived as %q, want %q", name, r.Header.Get(name), value)
		}
	}
	if remaining := r.Header.Get("X-Deadline-Ms"); len(remaining) != 3 || remaining > "900" {
		t.Errorf("deadline %q, the caller's is 900 ms", remaining)
	}
}

// Requests without a valid key, route or ID are rejected and reach no backend server. A request
// body over the size limit is rejected with 413.
func TestInvalidRequestsAreRejected(t *testing.T) {
	f := gateway.NewFixture(t, gateway.Options{})
	f.StartServer("i-1", gateway.Respond("whole"))
	f.WaitFor("the gateway to serve", func() bool { return f.Post("/open/x", "warm").Status == 200 })
	cases := []struct {
		name, path, key, id string
		want                int
	}{
		{"a key", "/safe/x", "Bearer key-1", "1", 200},
		{"a lower-case scheme", "/safe/x", "bearer key-1", "2", 200},
		{"an unknown key", "/safe/x", "Bearer key-9", "3", 401},
		{"no key", "/safe/x", "", "4", 401},
		{"no key on a public route", "/open/x", "", "5", 200},
		{"no route", "/none/x", "Bearer key-1", "6", 404},
		{"a prefix without its slash", "/safe", "Bearer key-1", "7", 404},
		{"no id", "/safe/x", "Bearer key-1", "", 400},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			req := f.Request(t.Context(), http.MethodPost, c.path, c.id, nil)
			req.Header.Del("Authorization")
			if c.key != "" {
				req.Header.Set("Authorization", c.key)
			}
			if got := f.Do(req); got.Status != c.want {
				t.Errorf("status %d, want %d", got.Status, c.want)
			}
			if c.want != 200 && len(f.ReceivedRequests(c.id)) > 0 {
				t.Error("a rejected request reached a backend server")
			}
		})
	}
	if received := f.ReceivedRequests("5"); len(received) != 1 || received[0].Header.Get("X-Tenant") != "" {
		t.Error("a request without a key was forwarded with a customer")
	}
	if got := f.Do(f.Request(t.Context(), http.MethodPost, "/safe/x", "8", strings.NewReader(strings.Repeat("x", 100001)))); got.Status != 413 {
		t.Errorf("status %d for a body over the limit, want 413", got.Status)
	}
}

// Guards against running out of memory when callers send large bodies at once: the gateway
// rejects requests before it buffers too much.
func TestBufferedBodiesAreBounded(t *testing.T) {
	f := gateway.NewFixture(t, gateway.Options{MemoryMB: 1})
	f.StartServer("i-1", gateway.Hang)
	f.WaitFor("the server to be listed", func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		f.Do(f.Request(ctx, http.MethodPost, "/stream/x", "warm", nil))
		return len(f.ReceivedRequests("warm")) > 0
	})
	got := make(chan gateway.Response, 10)
	for range 10 {
		go func() {
			// The server never responds, so every body has time to arrive.
			got <- f.Do(f.Request(t.Context(), http.MethodPost, "/unsafe/x", "big", strings.NewReader(strings.Repeat("x", 90_000))))
		}()
	}
	rejected := 0
	for range 10 {
		if (<-got).Status == http.StatusServiceUnavailable {
			rejected++
		}
	}
	if sent := len(f.ReceivedRequests("big")); sent == 0 || sent > 4 || rejected != 10-sent {
		t.Errorf("%d of 10 requests of 90 KB sent and %d rejected, at most 0.4 MB may be buffered", sent, rejected)
	}
	if got := f.Post("/quick/x", "small"); got.Status != http.StatusGatewayTimeout {
		t.Errorf("status %d for a small request after the large ones", got.Status)
	}
}

// A request header over the size limit is rejected with 431.
func TestHeaderLimit(t *testing.T) {
	f := gateway.NewFixture(t, gateway.Options{})
	f.StartServer("i-1", gateway.Respond("whole"))
	f.WaitFor("the gateway to serve", func() bool { return f.Post("/safe/x", "warm").Status == 200 })
	req := f.Request(t.Context(), http.MethodPost, "/safe/x", "1", nil)
	req.Header.Set("X-Long", strings.Repeat("x", 17000))
	if got := f.Do(req); got.Status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d for a header over the limit, want 431", got.Status)
	}
}

// Guards against a connection reset that destroys a rejection: the caller is still sending its
// body and has asked for the connection to be closed.
func TestRejectionReachesCallerThatIsStillSending(t *testing.T) {
	f := gateway.NewFixture(t, gateway.Options{})
	c, err := net.Dial("tcp", f.GatewayAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	head := "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: 1\r\nConnection: close\r\nContent-Length: 90000\r\n\r\n"
	if _, err := io.WriteString(c, head); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
	if n, _ := c.Read(make([]byte, 1)); n != 0 {
		t.Error("got a response or a close while the body was being sent")
	}
	if _, err := io.WriteString(c, strings.Repeat("x", 90_000)); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != http.StatusUnauthorized {
		t.Fatalf("rejection: got %+v, %v, want status 401", resp, err)
	}
}
