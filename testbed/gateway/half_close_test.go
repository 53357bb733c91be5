package gateway_test

import (
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/gateway"
)

// closeDetectionTime is how long a test waits for a gateway to detect that a caller closed its
// connection. Gateways need not detect a half-close.
const closeDetectionTime = 500 * time.Millisecond

// A caller that half-closes its connection after its request may still read. It gets its
// response or none, never an unsigned success.
func TestHalfClosedCallerGetsNoFalseSuccess(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x", "/resume/x"} {
		for when, immediately := range map[string]bool{"with the request": true, "while it runs": false} {
			t.Run(path+" "+when, func(t *testing.T) {
				f, server := newServingFixture(t, gateway.Options{})
				script, release := respondOnRelease("id: 1\ndata: whole\n\n")
				server.SetScript(script)
				caller := dialRaw(t, f)
				caller.send(postHead(path, "half", 4) + "body")
				if !immediately {
					f.WaitFor("the request to reach the server", func() bool { return len(f.ReceivedRequests("half")) > 0 })
				}
				if err := caller.CloseWrite(); err != nil {
					t.Fatal(err)
				}
				if !immediately {
					// A gateway that treats the caller as gone closes its connection to the
					// server.
					select {
					case <-f.ReceivedRequests("half")[0].Closed:
					case <-time.After(closeDetectionTime):
					}
				}
				close(release)
				got := caller.receive("POST")
				if unsignedSuccess(got) {
					t.Errorf("status %d without a server's signature: %+v", got.Status, got)
				}
			})
		}
	}
}
