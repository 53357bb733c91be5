package gateway_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/gateway"
)

// A rejection is sent even if the body never arrives completely: the caller waits for it, and
// a gateway that shuts down would wait for the body.
func TestRejectionDoesNotWaitForBody(t *testing.T) {
	for name, c := range earlyRejections {
		for form, body := range map[string]string{
			"a length": "Content-Length: 8\r\n\r\nhalf", "chunks": "Transfer-Encoding: chunked\r\n\r\n8\r\nhalf",
			"a body that waits for 100 Continue": "Expect: 100-continue\r\nContent-Length: 8\r\n\r\n",
		} {
			t.Run(name+", "+form, func(t *testing.T) {
				t.Parallel()
				f, _ := newServingFixture(t, gateway.Options{})
				caller := dialRaw(t, f)
				began := time.Now()
				caller.send(strings.TrimSuffix(rejectedHead(c.path, c.key, "refused"), "\r\n") + body)
				got := caller.receive("POST")
				if got.Status == http.StatusContinue {
					got = caller.receive("POST")
				}
				if got.Status != c.status {
					t.Errorf("got %+v after %v, want status %d", got, time.Since(began), c.status)
				}
			})
		}
	}
}
