package gateway_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/gateway"
)

// A caller that doesn't read its answer holds up a graceful stop no longer than
// it may take: it is let go soon after the answer was due.
func TestCallerThatDoesNotReadHoldsUpNoStop(t *testing.T) {
	t.Parallel()
	const (
		// grace is far longer than the answer's time, a second, and what a caller
		// may take it for after that; stops is the bound between the two.
		grace = 20 * time.Second
		stops = 10 * time.Second
	)
	f, server := served(t, gateway.Options{Grace: grace})
	// More than the sockets between the two hold.
	body := strings.Repeat("x", 32<<20)
	server.Do(gateway.Answer(body))
	caller := connect(t, f)
	caller.send(head("POST", "/unsafe/x", "unread", "X-Deadline-Ms: 1000", fmt.Sprintf("Content-Length: %d", 0)))
	f.Wait("it is at the server", func() bool { return len(f.Arrivals("unread")) > 0 })
	f.Stop()
	select {
	case <-f.Stopped:
	case <-time.After(stops):
		t.Errorf("not stopped after %v", stops)
	}
}
