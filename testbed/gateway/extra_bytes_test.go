package gateway_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/applepier/applepier/testbed/gateway"
)

// Unusual but valid bytes around a request must not be taken for a disconnect: the caller gets
// the complete response, and so does its next request on the connection.
func TestExtraBytesAreNoDisconnect(t *testing.T) {
	// before is sent first. during is sent while the request runs, or, after an Expect header, at
	// once.
	cases := map[string]struct{ before, during string }{
		"a body in one piece":                      {postHead("/unsafe/x", "1", 4) + "body", ""},
		"chunks":                                   {requestHead("POST", "/unsafe/x", "1", "Transfer-Encoding: chunked") + "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n", ""},
		"chunks and a trailer":                     {requestHead("POST", "/unsafe/x", "1", "Transfer-Encoding: chunked", "Trailer: X-After") + "4\r\nbody\r\n0\r\nX-After: 1\r\n\r\n", ""},
		"a body after 100 Continue":                {postHead("/unsafe/x", "1", 4, "Expect: 100-continue"), "body"},
		"no body":                                  {requestHead("POST", "/unsafe/x", "1"), ""},
		"a body on a GET":                          {requestHead("GET", "/unsafe/x", "1", "Content-Length: 4") + "body", ""},
		"an extra line end":                        {postHead("/unsafe/x", "1", 4) + "body", "\r\n"},
		"the next request during this one":         {postHead("/unsafe/x", "1", 4) + "body", requestHead("POST", "/safe/x", "beside")},
		"the next request with this one":           {postHead("/unsafe/x", "1", 4) + "body" + requestHead("POST", "/safe/x", "beside"), ""},
		"part of the next request during this one": {postHead("/unsafe/x", "1", 4) + "body", requestHead("POST", "/safe/x", "beside")[:30]},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f, server := newServingFixture(t, gateway.Options{})
			script, release := respondOnRelease("whole")
			server.SetScript(script)
			caller := dialRaw(t, f)
			caller.send(c.before)
			if strings.Contains(c.before, "100-continue") {
				caller.send(c.during)
			}
			f.WaitFor("the request to reach the server", func() bool { return len(f.ReceivedRequests("1")) > 0 })
			if !strings.Contains(c.before, "100-continue") {
				caller.send(c.during)
			}
			close(release)
			got := caller.receive("POST")
			for got.Status == http.StatusContinue {
				got = caller.receive("POST")
			}
			if got.Status != 200 || got.Body != "whole" || got.Err != nil || unsignedSuccess(got) {
				t.Errorf("got %+v", got)
			}
			switch next := requestHead("POST", "/safe/x", "beside"); {
			case c.during != "" && strings.HasPrefix(next, c.during):
				caller.send(next[len(c.during):])
			case !strings.HasSuffix(c.before, next):
				caller.send(next)
			}
			if got := caller.receive("POST"); got.Status != 200 || got.Body != "whole" || got.Err != nil || unsignedSuccess(got) {
				t.Errorf("the next request got %+v", got)
			}
		})
	}
}
