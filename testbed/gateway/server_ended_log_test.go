package gateway_test

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/applepier/applepier/testbed/gateway"
)

// Guards against log entries of interrupted requests that don't show whether the server had
// ended, or which of the requests were identical.
func TestLogEntriesShowWhetherServerEnded(t *testing.T) {
	core, logs := observer.New(zap.DebugLevel)
	f := gateway.NewFixture(t, gateway.Options{Log: zap.New(core)})
	server := f.StartServer("i-1", gateway.Respond("whole"))
	f.WaitFor("the gateway to serve", func() bool { return f.Post("/safe/x", "warm").Status == 200 })

	server.SetScript(gateway.CloseConnection)
	f.Post("/unsafe/x", "broken-off")
	runningFields := expectLogEntry(t, logs, "broken-off", "request_unknown", map[string]any{"server_ended": false})
	if logs.FilterMessage("server_ended").Len() != 0 {
		t.Error("a server_ended entry was logged for a running server")
	}

	f.Store.Delete("servers", "i-1")
	crashable := startCrashableServers(f, 1, gateway.Respond("whole"))
	f.WaitFor("the server to crash", func() bool { postBody(f, "/unsafe/x", "ends", crashBody); return crashable.crashes() > 0 })
	endedFields := expectLogEntry(t, logs, "ends", "request_unknown", map[string]any{"server_ended": true})
	if logs.FilterMessage("server_ended").Len() != 1 {
		t.Errorf("%d server_ended entries, want 1", logs.FilterMessage("server_ended").Len())
	}
	if endedFields["fingerprint"] == runningFields["fingerprint"] || endedFields["fingerprint"] == "" {
		t.Error("requests with different bodies have the same fingerprint, or none")
	}
}

// Guards against log entries of requests on a crashed server that don't show which prompt segments
// they had in common, and whether the server had begun to answer.
func TestLogEntriesShowSegmentsOnEndedServers(t *testing.T) {
	core, logs := observer.New(zap.DebugLevel)
	f := gateway.NewFixture(t, gateway.Options{Log: zap.New(core)})
	servers := startServersCrashingOn(f, 1, gateway.Respond("whole"), hasSegment(deadlySegment))
	f.WaitFor("the server to crash", func() bool {
		postPrompt(f, "/unsafe/x", "ends", "1a:10", "dead:20", "7:5")
		return servers.crashes() > 0
	})
	expectLogEntry(t, logs, "ends", "request_unknown", map[string]any{"server_ended": true, "segments": "1a,dead", "answered": time.Duration(0)})
}
