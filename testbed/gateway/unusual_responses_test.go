package gateway_test

import (
	"io"
	"net"
	"strings"
	"testing"

	"github.com/applepier/applepier/testbed/gateway"
)

// longBody is longer than what the gateway buffers of a response before it forwards it.
var longBody = strings.Repeat("0123456789abcdef", 20<<10)

// rawResponse returns a script that writes header lines and body as given and then keeps or
// closes the connection.
func rawResponse(keepOpen bool, lines []string, status int, body string) gateway.Script {
	return func(c net.Conn, r *gateway.ReceivedRequest) bool {
		_, err := io.WriteString(c, gateway.ResponseHead(r, status, lines...)+body)
		return err == nil && keepOpen
	}
}

// Unusual and malformed server responses end in a response to the caller, and its connection
// stays usable or is closed properly.
func TestUnusualResponsesAreHandled(t *testing.T) {
	cases := map[string]struct {
		method string
		script gateway.Script
		// want lists the allowed statuses.
		want []int
	}{
		"no content":           {"POST", rawResponse(true, nil, 204, ""), []int{204}},
		"not modified":         {"GET", rawResponse(true, nil, 304, ""), []int{304}},
		"not modified, length": {"GET", rawResponse(true, []string{"Content-Length: 5"}, 304, ""), []int{304}},
		"reset content":        {"POST", rawResponse(true, []string{"Content-Length: 0"}, 205, ""), []int{205}},
		"HEAD, no length":      {"HEAD", rawResponse(true, nil, 200, ""), []int{200}},
		"HEAD, long":           {"HEAD", rawResponse(true, []string{"Content-Length: 500000"}, 200, ""), []int{200}},
		"an unknown status":    {"POST", rawResponse(true, []string{"Content-Length: 2"}, 599, "ab"), []int{599}},
		"status 600":           {"POST", rawResponse(true, []string{"Content-Length: 2"}, 600, "ab"), []int{502}},
		"status 799":           {"POST", rawResponse(true, []string{"Content-Length: 2"}, 799, "ab"), []int{502}},
		"status 999":           {"POST", rawResponse(true, []string{"Content-Length: 2"}, 999, "ab"), []int{502}},
		"status 000":           {"POST", rawResponse(false, []string{"Content-Length: 2"}, 0, "ab"), []int{502}},
		"an interim response": {"POST", func(c net.Conn, r *gateway.ReceivedRequest) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 102 Processing\r\n\r\n")
			return gateway.Respond("whole")(c, r)
		}, []int{200}},
		"another protocol":          {"POST", rawResponse(false, []string{"Upgrade: x", "Connection: Upgrade"}, 101, ""), []int{502}},
		"no length":                 {"POST", rawResponse(false, nil, 200, "whole"), []int{200}},
		"no length, long":           {"POST", rawResponse(false, nil, 200, longBody), []int{200}},
		"a trailer":                 {"POST", rawResponse(true, []string{"Transfer-Encoding: chunked", "Trailer: X-After"}, 200, "5\r\nwhole\r\n0\r\nX-After: 1\r\n\r\n"), []int{200}},
		"two lengths":               {"POST", rawResponse(false, []string{"Content-Length: 5", "Content-Length: 6"}, 200, "whole!"), []int{502}},
		"a negative length":         {"POST", rawResponse(false, []string{"Content-Length: -1"}, 200, "whole"), []int{502}},
		"a huge length":             {"POST", rawResponse(false, []string{"Content-Length: 9223372036854775807"}, 500, "whole"), []int{500, 502}},
		"a broken chunk":            {"POST", rawResponse(false, []string{"Transfer-Encoding: chunked"}, 200, "zz\r\nwhole\r\n"), []int{502}},
		"hop-by-hop headers":        {"POST", rawResponse(true, []string{"Content-Length: 5", "Connection: X-Hop", "X-Hop: 1", "Keep-Alive: timeout=-9999999999999999999"}, 200, "whole"), []int{200}},
		"a huge keep-alive timeout": {"POST", rawResponse(true, []string{"Content-Length: 5", "Keep-Alive: timeout=9223372036854775807"}, 200, "whole"), []int{200}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, server := newServingFixture(t, gateway.Options{})
			server.SetScript(c.script)
			caller := dialRaw(t, f)
			caller.send(requestHead(c.method, "/unsafe/x", "odd"))
			got := caller.receive(c.method)
			ok := false
			for _, want := range c.want {
				ok = ok || got.Status == want
			}
			if !ok || unsignedSuccess(got) {
				t.Errorf("got %d, %v, want %v; X-Signature %q", got.Status, got.Err, c.want, got.Header.Get("X-Signature"))
			}
			if got.Err != nil {
				return
			}
			server.SetScript(gateway.Respond("whole"))
			caller.send(requestHead("POST", "/safe/x", "next"))
			if got := caller.receive("POST"); got.Status != 200 || got.Body != "whole" {
				t.Errorf("the next request got %+v", got)
			}
		})
	}
}

// Requests with unusual or malformed header values get a response.
func TestUnusualHeadersAreHandled(t *testing.T) {
	f, _ := newServingFixture(t, gateway.Options{})
	const maxInt64 = "9223372036854775807"
	for _, line := range []string{
		"X-Token-Count: " + maxInt64 + "," + maxInt64, "X-Token-Count: -1,-1", "X-Token-Count: ,", "X-Token-Count: 99999999999999999999",
		"X-Prefix-Hash: 1:" + maxInt64 + ",2:" + maxInt64 + ",3:" + maxInt64, "X-Prefix-Hash: ,,,", "X-Prefix-Hash: 1:-5,2:-5,3:1", "X-Prefix-Hash: ffffffffffffffffff:1",
		"X-Deadline-Ms: 1e308", "X-Deadline-Ms: NaN", "X-Deadline-Ms: -Inf", "X-Deadline-Ms: 0", "X-Deadline-Ms: 1e-300", "X-Deadline-Ms: 9223372036854775807",
		"Last-Event-Id: 9223372036854775807", "Last-Event-Id: -1", "Last-Event-Id: x", "Connection: X-Signature, Host",
	} {
		for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x", "/resume/x"} {
			for _, tokens := range []string{"", "X-Token-Count: 2000,10"} {
				lines := []string{line}
				if tokens != "" && !strings.HasPrefix(line, "X-Token") {
					lines = append(lines, tokens)
				}
				caller := dialRaw(t, f)
				caller.send(requestHead("POST", path, "1", lines...))
				if got := caller.receive("POST"); got.Status == 0 || got.Err != nil || unsignedSuccess(got) {
					t.Errorf("%s, %q: got %+v", path, lines, got)
				}
				_ = caller.Close()
			}
		}
	}
}
