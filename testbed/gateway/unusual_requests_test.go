package gateway_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/applepier/applepier/testbed/gateway"
)

// Unusual and malformed requests get a response, and only a backend server's response looks
// like a success.
func TestUnusualRequestsAreAnswered(t *testing.T) {
	f, _ := newServingFixture(t, gateway.Options{})
	lines := "\r\nHost: h.example\r\nX-Request-Id: 1\r\nAuthorization: Bearer key-1\r\n"
	for _, text := range []string{
		"GET http://h.example/safe/x HTTP/1.1" + lines + "\r\n",
		"CONNECT h.example:80 HTTP/1.1" + lines + "\r\n",
		"GET /safe/x HTTP/1.0" + lines + "\r\n",
		"GET /safe/x HTTP/1.0" + lines + "Connection: keep-alive\r\n\r\n",
		"POST /safe/x HTTP/1.0" + lines + "Content-Length: 4\r\n\r\nbody",
		"GET /safe/x HTTP/1.1\r\nX-Request-Id: 1\r\n\r\n",
		"GET /safe/x HTTP/2.7" + lines + "\r\n",
		"GET /safe/%zz HTTP/1.1" + lines + "\r\n",
		"GET /safe/x HTTP/1.1" + lines + "Expect: nothing\r\n\r\n",
		"GET /safe/x HTTP/1.1" + lines + "Expect: 100-continue\r\n\r\n",
		"GET /safe/x HTTP/1.1" + lines + "Upgrade: websocket\r\nConnection: Upgrade\r\n\r\n",
		"POST /safe/x HTTP/1.1" + lines + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n",
		"POST /safe/x HTTP/1.1" + lines + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"POST /safe/x HTTP/1.1" + lines + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody",
		"POST /safe/x HTTP/1.1" + lines + "Content-Length: -1\r\n\r\n",
		"POST /safe/x HTTP/1.1" + lines + "Content-Length: 99999999999999999999\r\n\r\n",
		"POST /safe/x HTTP/1.1" + lines + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-A: " + strings.Repeat("a", 3000) + "\r\n\r\n",
		"PATCH /safe/x HTTP/1.1" + lines + "Content-Length: 0\r\n\r\n",
		"MADEUP /safe/x HTTP/1.1" + lines + "\r\n",
	} {
		c := dialRaw(t, f)
		c.send(text)
		method, _, _ := strings.Cut(text, " ")
		if got := c.receive(method); got.Status == 0 || got.Err != nil || unsignedSuccess(got) {
			t.Errorf("%.60q: got %+v", text, got)
		}
		_ = c.Close()
	}
}

// Requests get a response for any values in the server list and the desired state.
func TestUnusualStatesAreHandled(t *testing.T) {
	f, server := newServingFixture(t, gateway.Options{})
	version := 10
	checkAllRoutes := func(label string) {
		t.Helper()
		for n := range 10 {
			for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x", "/resume/x", "/odd/x"} {
				c := dialRaw(t, f)
				c.send(requestHead("POST", path, fmt.Sprintf("%s-%d", label, n), "X-Token-Count: 2000,10", "X-Prefix-Hash: 1:900,2:900,3:200"))
				if got := c.receive("POST"); got.Status == 0 || got.Err != nil || unsignedSuccess(got) {
					t.Errorf("%s, %s: got %+v", label, path, got)
				}
				_ = c.Close()
			}
		}
	}
	for _, slots := range []string{"0", "-1", "1e18", "0.5"} {
		for _, warmup := range []string{"0", "-5", "1e18"} {
			row := fmt.Sprintf(`{"service":"plain","addr":%q,"zone":"","version":"v1","slots":%s,"state":"ready","seq":2,"warmup-left-ms":%s}`, server.Addr, slots, warmup)
			f.Store.Put("servers", server.Instance, []byte(row))
			version++
			f.PutState(version, fmt.Sprintf(`,{"name":"now","host":"h.example","prefix":"/now%d/","type":"safe","timeout-ms":2000,"service":"plain","attempts":1}`, version), "")
			f.WaitFor("the state to take effect", func() bool { return f.Post(fmt.Sprintf("/now%d/x", version), "now").Status != 404 })
			checkAllRoutes("slots " + slots + ", warming " + warmup)
		}
	}
	f.ListServer(server, "ready")
	for _, route := range []string{
		`"timeout-ms":-1,"service":"plain"`, `"timeout-ms":1e300,"service":"plain"`, `"timeout-ms":200,"slo-ms":-1,"service":"plain"`,
		`"timeout-ms":200,"slo-ms":1e300,"service":"plain"`, `"timeout-ms":200,"priority":-9,"service":"plain"`, `"timeout-ms":200,"priority":1000000000,"service":"plain"`,
		`"timeout-ms":200,"service":"none"`, `"timeout-ms":200,"attempts":-1,"service":"plain"`, `"timeout-ms":200,"attempts":1000000000,"service":"plain"`,
	} {
		version++
		f.PutState(version, fmt.Sprintf(`,{"name":"odd","host":"h.example","prefix":"/odd/","type":"safe",%s},{"name":"now","host":"h.example","prefix":"/now%d/","type":"safe","timeout-ms":2000,"service":"plain"}`, route, version), "")
		f.WaitFor("the state to take effect", func() bool { return f.Post(fmt.Sprintf("/now%d/x", version), "now").Status != 404 })
		checkAllRoutes(route)
	}
}
