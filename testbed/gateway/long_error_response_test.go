package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/applepier/applepier/testbed/gateway"
)

// A status that implies that a request wasn't executed is forwarded only if the server marks the
// response as not executed, even if the body exceeds the gateway's buffer.
func TestLongErrorResponseDoesNotImplyNotExecuted(t *testing.T) {
	for _, status := range []int{408, 421, 429, 503} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			t.Parallel()
			f, server := newServingFixture(t, gateway.Options{})
			errorResponse := rawResponse(true, []string{fmt.Sprintf("Content-Length: %d", len(longBody))}, status, longBody)
			server.SetScript(errorResponse)
			got := f.Post("/unsafe/x", "1")
			if got.Status == status && status != http.StatusMisdirectedRequest {
				t.Errorf("status %d implies that the request wasn't executed; it may have been", got.Status)
			}
		})
	}
}

// Guards against a long failure of a server that counts as served: it says that the server is sound, and
// hides from the operator that requests fail.
func TestLongErrorResponseCountsAsFailure(t *testing.T) {
	t.Parallel()
	core, logs := observer.New(zap.DebugLevel)
	f, server := newServingFixture(t, gateway.Options{Log: zap.New(core)})
	server.SetScript(rawResponse(true, []string{fmt.Sprintf("Content-Length: %d", len(longBody))}, 500, longBody))
	if got := f.Post("/unsafe/x", "fails"); got.Status != 500 || got.Body != longBody {
		t.Errorf("status %d and %d bytes, want the server's own response", got.Status, len(got.Body))
	}
	expectLogEntry(t, logs, "fails", "request_finished", map[string]any{"reason": "backend_failure", "status": int64(500)})
}

// Guards against a caller that leaves during a long response and counts as a response that broke off.
func TestCallerLeavingDuringLongResponse(t *testing.T) {
	t.Parallel()
	core, logs := observer.New(zap.DebugLevel)
	f, server := newServingFixture(t, gateway.Options{Log: zap.New(core)})
	server.SetScript(func(c net.Conn, r *gateway.ReceivedRequest) bool {
		_, _ = io.WriteString(c, gateway.ResponseHead(r, 200, fmt.Sprintf("Content-Length: %d", 2*len(longBody)))+longBody)
		<-r.Closed
		return false
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	resp, err := http.DefaultClient.Do(f.Request(ctx, http.MethodPost, "/unsafe/x", "leaves", nil))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.ReadFull(resp.Body, make([]byte, 1000)); err != nil {
		t.Fatal(err)
	}
	cancel()
	f.WaitFor("the end of the request to be logged", func() bool { return logs.FilterField(zap.String("request", "leaves")).Len() > 0 })
	expectLogEntry(t, logs, "leaves", "request_cancelled", map[string]any{"reason": "caller_left"})
}
