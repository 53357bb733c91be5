package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/applepier/applepier/testbed/gateway"
	"github.com/applepier/applepier/testbed/rowstore"
)

// The log entries alone explain three failed requests, found by their request IDs, and no
// entry contains a key or a body.
func TestLinesTellWhyARequestFailed(t *testing.T) {
	core, lines := observer.New(zap.DebugLevel)
	f := gateway.NewFleet(t, gateway.Options{Revoke: 2500 * time.Millisecond, Log: zap.New(core)})
	server := f.Serve("i-1", gateway.Answer("whole"))
	f.Wait("the gateway to serve", func() bool { return f.Call("/safe/x", "warm").Status == 200 })

	server.Do(gateway.Drop)
	f.Do(f.Request(t.Context(), http.MethodPost, "/unsafe/x", "broken-off", strings.NewReader("a secret prompt")))
	expectLine(t, lines, "broken-off", "request_unknown", map[string]any{"reason": "outcome_unknown", "last_server": "i-1", "sends": int64(1), "status": int64(502)})

	server.Do(gateway.Hang)
	prompt := func(id string) *http.Request {
		req := f.Request(t.Context(), http.MethodPost, "/stream/x", id, nil)
		req.Header.Set("X-Token-Count", "60000,10")
		req.Header.Set("X-Deadline-Ms", "1000")
		return req
	}
	go f.Do(prompt("first"))
	f.Wait("the long prompt to reach the server", func() bool { return len(f.Arrivals("first")) > 0 })
	f.Do(prompt("crowded-out"))
	line := expectLine(t, lines, "crowded-out", "request_refused", map[string]any{"reason": "no_room_in_time", "sends": int64(0), "last_server": "i-1"})
	if expected, ok := line["expected"].(time.Duration); !ok || expected < 500*time.Millisecond {
		t.Errorf("expected is %v, want at least the target of 500 ms", line["expected"])
	}

	f.Store.SetFault(rowstore.Busy)
	f.Wait("requests with keys to be rejected", func() bool { return f.Call("/safe/x", "stale").Status == 503 })
	line = expectLine(t, lines, "stale", "request_refused", map[string]any{"reason": "state_not_proved_fresh", "version": uint64(1)})
	if age, ok := line["proof_age"].(time.Duration); !ok || age < 2*time.Second {
		t.Errorf("proof_age is %v, the bound is 2.4 s", line["proof_age"])
	}
	if lines.FilterMessage("platform_down").Len() == 0 {
		t.Error("no platform_down entry was logged")
	}

	for _, entry := range lines.All() {
		if text := fmt.Sprint(entry.Message, entry.ContextMap()); strings.Contains(text, "key-1") || strings.Contains(text, "secret") {
			t.Errorf("a log entry contains a key or a body: %s", text)
		}
	}
}

// expectLogEntry checks event and fields of the last log entry of a request and returns all of
// its fields.
func expectLine(t *testing.T, lines *observer.ObservedLogs, id, event string, fields map[string]any) map[string]any {
	t.Helper()
	all := lines.FilterField(zap.String("request", id)).All()
	if len(all) == 0 {
		t.Fatalf("no log entry of request %s", id)
	}
	last := all[len(all)-1]
	got := last.ContextMap()
	if last.Message != event {
		t.Errorf("%s: event %s, want %s", id, last.Message, event)
	}
	for name, want := range fields {
		if got[name] != want {
			t.Errorf("%s: %s is %v, want %v", id, name, got[name], want)
		}
	}
	return got
}
