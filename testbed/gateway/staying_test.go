package gateway_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/applepier/applepier/testbed/gateway"
)

// Unusual but valid bytes around a request must not be taken for a disconnect: the client gets
// the complete response, and so does its next request on the connection.
func TestCallersThatStayGetTheWholeAnswer(t *testing.T) {
	cases := map[string]struct{ before, beside string }{
		"a body in one piece":             {post("/unsafe/x", "1", 4) + "body", ""},
		"chunks":                          {head("POST", "/unsafe/x", "1", "Transfer-Encoding: chunked") + "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n", ""},
		"chunks and a trailer":            {head("POST", "/unsafe/x", "1", "Transfer-Encoding: chunked", "Trailer: X-After") + "4\r\nbody\r\n0\r\nX-After: 1\r\n\r\n", ""},
		"a body after 100 Continue":       {post("/unsafe/x", "1", 4, "Expect: 100-continue"), "body"},
		"no body":                         {head("POST", "/unsafe/x", "1"), ""},
		"a body on a GET":                 {head("GET", "/unsafe/x", "1", "Content-Length: 4") + "body", ""},
		"an extra line end":               {post("/unsafe/x", "1", 4) + "body", "\r\n"},
		"the next request beside":         {post("/unsafe/x", "1", 4) + "body", head("POST", "/safe/x", "beside")},
		"the next request with this one":  {post("/unsafe/x", "1", 4) + "body" + head("POST", "/safe/x", "beside"), ""},
		"part of the next request beside": {post("/unsafe/x", "1", 4) + "body", head("POST", "/safe/x", "beside")[:30]},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f, server := served(t, gateway.Options{})
			script, release := answerWhenTold("whole")
			server.Do(script)
			caller := connect(t, f)
			caller.send(c.before)
			if strings.Contains(c.before, "100-continue") {
				caller.send(c.beside)
			}
			f.Wait("the request to reach the server", func() bool { return len(f.Arrivals("1")) > 0 })
			if !strings.Contains(c.before, "100-continue") {
				caller.send(c.beside)
			}
			close(release)
			got := caller.receive("POST")
			for got.Status == http.StatusContinue {
				got = caller.receive("POST")
			}
			if got.Status != 200 || got.Body != "whole" || got.Err != nil || unsigned(got) {
				t.Errorf("got %+v", got)
			}
			switch whole := head("POST", "/safe/x", "beside"); {
			case c.beside != "" && strings.HasPrefix(whole, c.beside):
				caller.send(whole[len(c.beside):])
			case !strings.HasSuffix(c.before, whole):
				caller.send(whole)
			}
			if got := caller.receive("POST"); got.Status != 200 || got.Body != "whole" || got.Err != nil || unsigned(got) {
				t.Errorf("the next request got %+v", got)
			}
		})
	}
}
