package router

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/exchange"
	"github.com/applepier/applepier/internal/gateway/protocol"
	"github.com/applepier/applepier/internal/gateway/routes"
	"github.com/applepier/applepier/policy"
)

// plainDialect is a Dialect for responses that have all headers that callers need.
type plainDialect struct{ protocol.Dialect }

func (plainDialect) ParseResponse(int, http.Header) protocol.ResponseInfo {
	return protocol.ResponseInfo{Signed: true}
}

func (plainDialect) CallerHeaders(h http.Header) http.Header { return h }

// countingObserver counts the responses that have started.
type countingObserver struct {
	discardObserver
	started int
}

func (o *countingObserver) ResponseStarted(string) { o.started++ }

// commentTime is how long a server sends only comments.
const commentTime = 300 * time.Millisecond

// flush sends what a handler has written.
func flush(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() }

// Guards against learning how fast a server prefills from what it sends without having prefilled
// anything: the comments that keep a connection open, and failures.
func TestFirstTokenIsLearnedFromOutput(t *testing.T) {
	cases := map[string]struct {
		kind    routes.Kind
		handler http.HandlerFunc
		// atLeast is the least time to first token that may be learned; none is if it is 0.
		atLeast time.Duration
	}{
		"a stream with comments before its first event": {routes.KindStream, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(": wait\n\n"))
			flush(w)
			time.Sleep(commentTime)
			_, _ = w.Write([]byte("id: 1\ndata: a\n\n"))
		}, commentTime},
		"a stream of comments": {routes.KindStream, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(": wait\n\n: wait\n\n"))
		}, 0},
		"a failure": {routes.KindStream, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusInternalServerError)
		}, 0},
		"a response": {routes.KindSafe, func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(commentTime)
			_, _ = w.Write([]byte("whole"))
		}, commentTime},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			samples, started := attemptOnce(t, c.kind, c.handler)
			if started != 1 {
				t.Errorf("%d responses have started, want 1", started)
			}
			switch {
			case c.atLeast == 0 && len(samples) > 0:
				t.Errorf("learned %v from a response without output", samples)
			case c.atLeast > 0 && len(samples) != 1:
				t.Errorf("learned %v, want one time to first token", samples)
			case c.atLeast > 0 && samples[0].Latency < c.atLeast:
				t.Errorf("learned %v, but the first output came after %v", samples[0].Latency, c.atLeast)
			}
		})
	}
}

// attemptOnce sends one request to a server with the given handler. It returns the times to first
// token that other gateways would receive, and how many responses have started.
func attemptOnce(t *testing.T, kind routes.Kind, handler http.HandlerFunc) ([]policy.TTFTSample, int) {
	t.Helper()
	httpServer := httptest.NewServer(handler)
	t.Cleanup(httpServer.Close)
	r := newTestRouter()
	observer := &countingObserver{}
	r.Observer, r.Dialect, r.Pool = observer, plainDialect{}, exchange.NewPool()
	var server backend.Server
	addr := httpServer.Listener.Addr().String()
	req := httptest.NewRequest(http.MethodPost, "http://h.example/x/", nil)
	c := &call{
		router: r, w: httptest.NewRecorder(), req: req, arrivedAt: time.Now(), deadline: time.Now().Add(time.Minute),
		route: &routes.Route{Kind: kind}, service: "s", serverID: "i-1",
	}
	request := &exchange.Request{Method: http.MethodPost, Target: "/x/", Host: "h", Matches: func(http.Header) bool { return true }}
	sentAt := time.Now()
	response, err := r.Pool.Do(t.Context(), exchange.ServerInstance{Addr: addr}, request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Abort()
	tracked := &trackedRequest{InFlight: server.Load.Track(0, policy.PrefillPlan{}), call: c, server: &server, sentAt: sentAt}
	defer tracked.Finish()
	c.handleResponse(t.Context(), response, protocol.ResponseInfo{Signed: true}, tracked)
	return r.TakeUpdates().FirstTokens, observer.started
}
