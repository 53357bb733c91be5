package gateway_test

import (
	"net/http"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/applepier/applepier/testbed/gateway"
)

// earlyRejections are requests that the gateway rejects before it reads the body.
var earlyRejections = map[string]struct {
	path, key string
	status    int
}{
	"no route":       {"/none/x", "key-1", http.StatusNotFound},
	"an unknown key": {"/safe/x", "key-9", http.StatusUnauthorized},
}

// rejectedHead returns the head of a request that is rejected.
func rejectedHead(path, key, id string, lines ...string) string {
	return strings.Replace(requestHead(http.MethodPost, path, id, lines...), "key-1", key, 1)
}

// The late body of a rejected request must not be read as the next request on the connection;
// that request is served, or not forwarded.
func TestRequestAfterRejectedLateBodyIsServed(t *testing.T) {
	for name, c := range earlyRejections {
		for next, path := range map[string]string{"safe": "/safe/x", "unsafe": "/unsafe/x", "stream": "/stream/x"} {
			t.Run(name+", then "+next, func(t *testing.T) {
				t.Parallel()
				core, logs := observer.New(zap.DebugLevel)
				f, _ := newServingFixture(t, gateway.Options{Log: zap.New(core)})
				caller := dialRaw(t, f)
				caller.send(rejectedHead(c.path, c.key, "refused", "Content-Length: 8") + "half")
				f.WaitFor("the request to be rejected", func() bool { return logs.FilterField(zap.String("request", "refused")).Len() > 0 })
				caller.send("half")
				if got := caller.receive("POST"); got.Status != c.status {
					t.Fatalf("rejected with %+v", got)
				}
				// The gateway may close the connection; only the response matters.
				_, _ = caller.Write([]byte(postHead(path, "next", 0)))
				got := caller.receive("POST")
				t.Logf("the next request reached %d servers", len(f.ReceivedRequests("next")))
				if unsignedSuccess(got) {
					t.Errorf("status %d without a server's signature: %+v", got.Status, got)
				}
				if got.Err != nil && len(f.ReceivedRequests("next")) > 0 {
					t.Errorf("forwarded, and its connection was closed without a response: %v", got.Err)
				}
				if got.Err == nil && got.Status != http.StatusOK {
					t.Errorf("status %d", got.Status)
				}
			})
		}
	}
}
