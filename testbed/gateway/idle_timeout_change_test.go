package gateway_test

import (
	"errors"
	"fmt"
	"io"
	"os"
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/gateway"
)

// stateWithIdleTimeout returns a desired state with an idle timeout and a route /vN/ for its
// version N.
func stateWithIdleTimeout(version int, timeout time.Duration) []byte {
	return fmt.Appendf(nil, `{
 "version": %d,
 "routes": [{"name":"unsafe","host":"h.example","prefix":"/unsafe/","type":"unsafe","timeout-ms":2000,"slo-ms":100,"service":"plain","attempts":1},
  {"name":"safe","host":"h.example","prefix":"/safe/","type":"safe","timeout-ms":2000,"slo-ms":100,"service":"plain","attempts":2},
  {"name":"v%d","host":"h.example","prefix":"/v%d/","type":"safe","timeout-ms":2000,"service":"plain","attempts":1}],
 "services": [{"name":"plain","max-conns":1000}],
 "limits": {"max-header-bytes":16384,"max-body-bytes":100000,"idle-timeout-ms":%d},
 "tenants": [{"name":"crew","api-keys":["key-1"]}]
}`, version, version, version, timeout.Milliseconds())
}

// applyIdleTimeout writes a desired state with an idle timeout and waits until it is in
// effect.
func applyIdleTimeout(f *gateway.Fixture, version int, timeout time.Duration) {
	f.Store.Put("op", "config", stateWithIdleTimeout(version, timeout))
	f.WaitFor("the idle timeout to take effect", func() bool { return f.Post(fmt.Sprintf("/v%d/x", version), "version").Status == 200 })
}

// A raised idle timeout applies to connections that are idle already.
func TestRaisedIdleTimeoutKeepsIdleConnection(t *testing.T) {
	t.Parallel()
	f, _ := newServingFixture(t, gateway.Options{})
	applyIdleTimeout(f, 2, time.Millisecond)
	wait := 2 * measureIdleTime(t, f)
	c := dialRaw(t, f)
	c.send(requestHead("POST", "/unsafe/x", "first"))
	if got := c.receive("POST"); got.Status != 200 {
		t.Fatalf("first request: got %+v", got)
	}
	applyIdleTimeout(f, 3, time.Minute)
	// The gateway sends nothing on a connection that it keeps; reading from one that it closes
	// returns EOF.
	_ = c.SetReadDeadline(time.Now().Add(wait))
	if _, err := c.reader.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("the connection was closed (%v), the idle timeout is 1 minute", err)
	}
	c.send(requestHead("POST", "/unsafe/x", "next"))
	if got := c.receive("POST"); got.Status != 200 {
		t.Errorf("next request: got %+v", got)
	}
}

// A lowered idle timeout applies to connections that are idle already.
func TestLoweredIdleTimeoutClosesIdleConnection(t *testing.T) {
	t.Parallel()
	f, _ := newServingFixture(t, gateway.Options{})
	applyIdleTimeout(f, 2, time.Minute)
	c := dialRaw(t, f)
	c.send(requestHead("POST", "/unsafe/x", "first"))
	if got := c.receive("POST"); got.Status != 200 {
		t.Fatalf("first request: got %+v", got)
	}
	applyIdleTimeout(f, 3, time.Millisecond)
	_ = c.SetReadDeadline(time.Now().Add(readTimeout))
	if _, err := c.reader.Peek(1); !errors.Is(err, io.EOF) {
		t.Errorf("still open after %v, the idle timeout is 1 ms: %v", readTimeout, err)
	}
}
