package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/gateway"
)

// Guards against responses that are cut, or requests that are refused, where the memory for requests in progress
// doesn't suffice to buffer their responses: these are forwarded as they arrive.
func TestResponsesAreWholeWhileMemoryIsShort(t *testing.T) {
	// A part of it is left for responses, less than two of them take.
	const memoryMB, callers = 2, 15
	body := strings.Repeat("0123456789abcdef", 200<<6)
	cases := map[string]struct {
		path   string
		script gateway.Script
		want   string
	}{
		"length":    {"/unsafe/x", gateway.Respond(body), body},
		"chunks":    {"/unsafe/x", rawResponse(true, []string{"Transfer-Encoding: chunked"}, 200, fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)), body},
		"no length": {"/unsafe/x", rawResponse(false, nil, 200, body), body},
		"failure":   {"/unsafe/x", rawResponse(true, []string{fmt.Sprintf("Content-Length: %d", len(body))}, 500, body), body},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, server := newServingFixture(t, gateway.Options{MemoryMB: memoryMB})
			server.SetScript(c.script)
			for round := range 3 {
				var waiting sync.WaitGroup
				for i := range callers {
					waiting.Go(func() {
						caller := dialRaw(t, f)
						caller.send(requestHead("POST", c.path, fmt.Sprintf("%d-%d", round, i), "Content-Length: 0"))
						time.Sleep(100 * time.Millisecond)
						got := caller.receive("POST")
						if got.Err != nil || got.Body != c.want || got.Status != http.StatusOK && name != "failure" {
							t.Errorf("status %d, %d bytes, %v; want %d bytes", got.Status, len(got.Body), got.Err, len(c.want))
						}
						_ = caller.Close()
					})
				}
				waiting.Wait()
			}
		})
	}
}
