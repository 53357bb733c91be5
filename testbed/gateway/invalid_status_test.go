package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/gateway"
)

// maxBrokenWait is how long a caller may wait for the end of a request whose server sent a malformed
// response and keeps the connection open.
const maxBrokenWait = time.Second

// respondWithStatus returns a script that sends a response with a status as given, whose body looks like a
// complete response to the same request, and keeps the connection open.
func respondWithStatus(status string, withBody bool) gateway.Script {
	return func(c net.Conn, r *gateway.ReceivedRequest) bool {
		body := ""
		if withBody {
			body = gateway.ResponseHead(r, 200, "Content-Length: 5") + "inner"
		}
		_, err := fmt.Fprintf(c, "HTTP/1.1 %s Odd\r\nX-Request-Id: %s\r\nX-Signature: s\r\nContent-Length: %d\r\n\r\n%s", status, r.ID, len(body), body)
		return err == nil
	}
}

// Guards against a response whose status HTTP doesn't have: the caller got a response that its body held, or
// waited for one until its time was up, although another server could take the request.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "101", "600", "999"} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			for _, withBody := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/body=%v", status, method, withBody), func(t *testing.T) {
					t.Parallel()
					f, server := newServingFixture(t, gateway.Options{RetryRatio: 4})
					server.SetScript(respondWithStatus(status, withBody))
					for _, path := range []string{"/unsafe/x", "/safe/x", "/stream/x", "/resume/x"} {
						began := time.Now()
						got := f.Do(f.Request(t.Context(), method, path, "odd", nil))
						if took := time.Since(began); got.Status != http.StatusBadGateway || took > maxBrokenWait {
							t.Errorf("%s: status %d, body %q after %v; want 502 within %v", path, got.Status, got.Body, took, maxBrokenWait)
						}
					}
					f.StartServer("other", gateway.Respond("whole"))
					f.WaitFor("a request to be retried at the other server", func() bool {
						began := time.Now()
						got := f.Do(f.Request(t.Context(), method, "/safe/x", "again", nil))
						took := time.Since(began)
						if got.Status == http.StatusOK && (got.Body != "whole" || took > maxBrokenWait) {
							t.Errorf("body %q after %v, want that of the other server", got.Body, took)
						}
						return got.Status == http.StatusOK && f.ReachedTwoServers("again")
					})
				})
			}
		}
	}
}

// Guards against an informational response that is given up on because its header announces a body, which
// none has (RFC 9112, 6.3): the response comes next.
func TestInformationalResponseHasNoBody(t *testing.T) {
	for _, status := range []string{"100", "102", "103", "199"} {
		t.Run(status, func(t *testing.T) {
			f, server := newServingFixture(t, gateway.Options{})
			server.SetScript(func(c net.Conn, r *gateway.ReceivedRequest) bool {
				_, err := fmt.Fprintf(c, "HTTP/1.1 %s Odd\r\nContent-Length: 5\r\n\r\n", status)
				if err == nil {
					_, err = io.WriteString(c, gateway.ResponseHead(r, 200, "Content-Length: 5")+"whole")
				}
				return err == nil
			})
			if got := f.Post("/unsafe/x", "informed"); got.Status != http.StatusOK || got.Body != "whole" || got.Err != nil {
				t.Errorf("got %+v", got)
			}
		})
	}
}
