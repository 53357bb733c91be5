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
func TestLogEntriesExplainFailedRequests(t *testing.T) {
	core, logs := observer.New(zap.DebugLevel)
	f := gateway.NewFixture(t, gateway.Options{Revoke: 2500 * time.Millisecond, Log: zap.New(core)})
	server := f.StartServer("i-1", gateway.Respond("whole"))
	f.WaitFor("the gateway to serve", func() bool { return f.Post("/safe/x", "warm").Status == 200 })

	server.SetScript(gateway.CloseConnection)
	f.Do(f.Request(t.Context(), http.MethodPost, "/unsafe/x", "broken-off", strings.NewReader("a secret prompt")))
	expectLogEntry(t, logs, "broken-off", "request_unknown", map[string]any{"reason": "outcome_unknown", "last_server": "i-1", "sends": int64(1), "status": int64(502)})

	server.SetScript(gateway.Hang)
	longPrompt := func(id string) *http.Request {
		req := f.Request(t.Context(), http.MethodPost, "/stream/x", id, nil)
		req.Header.Set("X-Token-Count", "60000,10")
		req.Header.Set("X-Deadline-Ms", "1000")
		return req
	}
	go f.Do(longPrompt("first"))
	f.WaitFor("the long prompt to reach the server", func() bool { return len(f.ReceivedRequests("first")) > 0 })
	f.Do(longPrompt("crowded-out"))
	fields := expectLogEntry(t, logs, "crowded-out", "request_refused", map[string]any{"reason": "no_room_in_time", "sends": int64(0), "last_server": "i-1"})
	if expected, ok := fields["expected"].(time.Duration); !ok || expected < 500*time.Millisecond {
		t.Errorf("expected is %v, want at least the target of 500 ms", fields["expected"])
	}

	f.Store.SetFault(rowstore.Unavailable)
	f.WaitFor("requests with keys to be rejected", func() bool { return f.Post("/safe/x", "stale").Status == 503 })
	fields = expectLogEntry(t, logs, "stale", "request_refused", map[string]any{"reason": "state_not_proved_fresh", "version": uint64(1)})
	if age, ok := fields["proof_age"].(time.Duration); !ok || age < 2*time.Second {
		t.Errorf("proof_age is %v, the bound is 2.4 s", fields["proof_age"])
	}
	if logs.FilterMessage("platform_down").Len() == 0 {
		t.Error("no platform_down entry was logged")
	}

	for _, entry := range logs.All() {
		if text := fmt.Sprint(entry.Message, entry.ContextMap()); strings.Contains(text, "key-1") || strings.Contains(text, "secret") {
			t.Errorf("a log entry contains a key or a body: %s", text)
		}
	}
}

// expectLogEntry checks event and fields of the last log entry of a request and returns all of
// its fields.
func expectLogEntry(t *testing.T, logs *observer.ObservedLogs, id, event string, fields map[string]any) map[string]any {
	t.Helper()
	entries := logs.FilterField(zap.String("request", id)).All()
	if len(entries) == 0 {
		t.Fatalf("no log entry of request %s", id)
	}
	last := entries[len(entries)-1]
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
