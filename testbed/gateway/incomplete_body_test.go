package gateway_test

import (
	"strings"
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/gateway"
)

// A request whose body doesn't arrive completely gets a response by the route's timeout.
func TestIncompleteBodyTimesOut(t *testing.T) {
	for form, body := range map[string]string{"a length": "Content-Length: 8\r\n\r\nhalf", "chunks": "Transfer-Encoding: chunked\r\n\r\n8\r\nhalf"} {
		t.Run(form, func(t *testing.T) {
			t.Parallel()
			f, _ := newServingFixture(t, gateway.Options{})
			caller := dialRaw(t, f)
			began := time.Now()
			caller.send(strings.TrimSuffix(requestHead("POST", "/quick/x", "slow"), "\r\n") + body)
			got := caller.receive("POST")
			// The route's timeout is 200 ms; the requirement allows 500 ms more.
			if took := time.Since(began); got.Status == 0 || took > 700*time.Millisecond {
				t.Errorf("got %+v after %v, want a response within 700 ms", got, took)
			}
		})
	}
}
