package gateway_test

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/applepier/applepier/testbed/gateway"
)

// Guards against a stream that is broken off because its IDs increase by more than one, which an event with
// several tokens does.
func TestEventsOfSeveralTokensAreForwarded(t *testing.T) {
	f := gateway.NewFixture(t, gateway.Options{})
	f.StartServer("i-1", gateway.EventsOfTokens(4, 10, 0, false))
	want := gateway.TokensEvent(1, 4) + gateway.TokensEvent(5, 8) + gateway.TokensEvent(9, 10)
	f.WaitFor("the server to be listed", func() bool { return f.Post("/stream/x", "warm").Status == http.StatusOK })
	for _, route := range []string{"/stream/x", "/resume/x"} {
		if got := f.Post(route, "stream"); got.Status != http.StatusOK || got.Body != want || got.Err != nil {
			t.Errorf("%s: %+v, want %q", route, got, want)
		}
	}
	if got := len(f.ReceivedRequests("stream")); got != 2 {
		t.Errorf("%d requests reached the server, want 2", got)
	}
}

// Guards against tokens that are missing or come twice where a stream with several tokens an event goes on
// at another server, which may continue it, begin anew with the same events, or with others.
func TestEventsOfSeveralTokensAreContinued(t *testing.T) {
	const last, cutAfter = 14, 8
	first, rest := gateway.TokensEvent(1, 4)+gateway.TokensEvent(5, 8), gateway.TokensEvent(9, 12)+gateway.TokensEvent(13, 14)
	cases := map[string]struct {
		continuation gateway.Script
		want         string
		complete     bool
		reason       string
	}{
		"continues":                  {gateway.EventsOfTokens(4, last, 0, false), first + rest, true, ""},
		"continues with others":      {gateway.EventsOfTokens(6, last, 0, false), first + gateway.TokensEvent(9, 14), true, ""},
		"begins anew":                {gateway.EventsOfTokens(4, last, 0, true), first + rest, true, ""},
		"begins anew with others":    {gateway.EventsOfTokens(3, last, 0, true), first, false, "event 9 after 8"},
		"begins anew, ends too soon": {gateway.EventsOfTokens(3, 6, 0, true), first, false, "ends before event 8"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			core, logs := observer.New(zap.WarnLevel)
			f := gateway.NewFixture(t, gateway.Options{Log: zap.New(core)})
			// Whichever server receives a request first breaks the stream off.
			script := func(conn net.Conn, r *gateway.ReceivedRequest) bool {
				if r.Header.Get("Last-Event-Id") == "" {
					return gateway.EventsOfTokens(4, last, cutAfter, false)(conn, r)
				}
				return c.continuation(conn, r)
			}
			f.StartServer("i-1", script)
			f.StartServer("i-2", script)
			f.WaitFor("a stream to be continued", func() bool {
				got := f.Post("/resume/x", "stream")
				requests := f.ReceivedRequests("stream")
				if !f.ReachedTwoServers("stream") {
					return false
				}
				if after := requests[len(requests)-1].Header.Get("Last-Event-Id"); after != "8" {
					t.Errorf("the stream was continued after event %q, want 8", after)
				}
				if got.Body != c.want || (got.Err == nil) != c.complete {
					t.Errorf("%+v; want complete %v, %q", got, c.complete, c.want)
				}
				return true
			})
			var reasons []string
			for _, entry := range logs.FilterMessage("events_out_of_order").All() {
				reasons = append(reasons, entry.ContextMap()["reason"].(string))
			}
			if got := strings.Join(reasons, "; "); (got == "") != (c.reason == "") || !strings.Contains(got, c.reason) {
				t.Errorf("logged %q, want %q", got, c.reason)
			}
		})
	}
}
