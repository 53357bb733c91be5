package gateway_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/gateway"
)

// A caller that doesn't read its response must not delay a graceful shutdown: the gateway closes
// the connection soon after the request's deadline.
func TestUnreadResponseDoesNotDelayShutdown(t *testing.T) {
	t.Parallel()
	const (
		// grace is far longer than the request's deadline of a second plus the time that the
		// gateway then allows for reading the response. stopTimeout lies between the two.
		grace       = 20 * time.Second
		stopTimeout = 10 * time.Second
	)
	f, server := newServingFixture(t, gateway.Options{Grace: grace})
	// The body exceeds the socket buffers between gateway and caller.
	body := strings.Repeat("x", 32<<20)
	server.SetScript(gateway.Respond(body))
	caller := dialRaw(t, f)
	caller.send(requestHead("POST", "/unsafe/x", "unread", "X-Deadline-Ms: 1000", fmt.Sprintf("Content-Length: %d", 0)))
	f.WaitFor("the request to reach the server", func() bool { return len(f.ReceivedRequests("unread")) > 0 })
	f.Stop()
	select {
	case <-f.Stopped:
	case <-time.After(stopTimeout):
		t.Errorf("not stopped after %v", stopTimeout)
	}
}
