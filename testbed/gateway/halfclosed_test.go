package gateway_test

import (
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/gateway"
)

// closeDetectionTime is the time within which a gateway detects that a client closed its
// connection, if it detects that at all.
const noticed = 500 * time.Millisecond

// A client that half-closes its connection after its request may still read. It gets its
// response or none, never an unsigned success.
func TestCallerThatClosesItsSendingSideGetsNoFalseSuccess(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x", "/resume/x"} {
		for when, atOnce := range map[string]bool{"with the request": true, "while it runs": false} {
			t.Run(path+" "+when, func(t *testing.T) {
				f, server := served(t, gateway.Options{})
				script, release := answerWhenTold("id: 1\ndata: whole\n\n")
				server.Do(script)
				caller := connect(t, f)
				caller.send(post(path, "half", 4) + "body")
				if !atOnce {
					f.Wait("the request to reach the server", func() bool { return len(f.Arrivals("half")) > 0 })
				}
				if err := caller.CloseWrite(); err != nil {
					t.Fatal(err)
				}
				if !atOnce {
					// A gateway that treats the client as gone closes its connection to the
					// server.
					select {
					case <-f.Arrivals("half")[0].Left:
					case <-time.After(noticed):
					}
				}
				close(release)
				got := caller.receive("POST")
				if unsigned(got) {
					t.Errorf("status %d without a server's signature: %+v", got.Status, got)
				}
			})
		}
	}
}
