package gateway_test

import (
	"fmt"
	"net"
	"testing"

	"github.com/applepier/applepier/testbed/gateway"
)

// A stream that has begun continues with events or is interrupted; an error response of the next
// server isn't inserted into it.
func TestErrorResponseIsNotInsertedIntoStream(t *testing.T) {
	for name, body := range map[string]string{"short": "fail", "long": longBody} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := gateway.NewFixture(t, gateway.Options{})
			failure := rawResponse(true, []string{fmt.Sprintf("Content-Length: %d", len(body))}, 500, body)
			for _, id := range []string{"i-1", "i-2"} {
				// Whichever server receives a request first closes the connection in the middle
				// of the stream.
				f.StartServer(id, func(c net.Conn, r *gateway.ReceivedRequest) bool {
					if r.Header.Get("Last-Event-Id") != "" {
						return failure(c, r)
					}
					return gateway.Events(6, 4, 0)(c, r)
				})
			}
			tries := 0
			f.WaitFor("a stream to be continued on the other server", func() bool {
				tries++
				id := fmt.Sprintf("broken-%d", tries)
				got := f.Post("/resume/x", id)
				if len(f.ReceivedRequests(id)) < 2 {
					return false
				}
				fullEvents := gateway.Event(1) + gateway.Event(2) + gateway.Event(3)
				if got.Body != fullEvents || got.Err == nil {
					t.Errorf("%d bytes, ends %q, %v", len(got.Body), got.Body[max(0, len(got.Body)-20):], got.Err)
				}
				return true
			})
		})
	}
}
