package gateway_test

import (
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/gateway"
)

// noticed is within what time a gateway notices that a caller closes, where it
// looks for that at all.
const noticed = 500 * time.Millisecond

// A caller that has sent all and closes its sending side may still read: it gets
// its answer or none, never one that looks like a success and isn't.
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
					f.Wait("it is at the server", func() bool { return len(f.Arrivals("half")) > 0 })
				}
				if err := caller.CloseWrite(); err != nil {
					t.Fatal(err)
				}
				if !atOnce {
					// A gateway that takes it for gone tells the server.
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
