package gateway_test

import (
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/applepier/applepier/testbed/gateway"
)

// Guards against log entries of interrupted requests that don't show whether the server had
// ended, or which of the requests were identical.
func TestLinesTellWhetherAServerEnded(t *testing.T) {
	core, lines := observer.New(zap.DebugLevel)
	f := gateway.NewFleet(t, gateway.Options{Log: zap.New(core)})
	server := f.Serve("i-1", gateway.Answer("whole"))
	f.Wait("the gateway to serve", func() bool { return f.Call("/safe/x", "warm").Status == 200 })

	server.Do(gateway.Drop)
	f.Call("/unsafe/x", "broken-off")
	goesOn := expectLine(t, lines, "broken-off", "request_unknown", map[string]any{"server_ended": false})
	if lines.FilterMessage("server_ended").Len() != 0 {
		t.Error("a server_ended entry was logged for a running server")
	}

	f.Store.Remove("servers", "i-1")
	m := newMortal(f, 1, gateway.Answer("whole"))
	f.Wait("the server to crash", func() bool { ask(f, "/unsafe/x", "ends", deadly); return m.crashes() > 0 })
	ends := expectLine(t, lines, "ends", "request_unknown", map[string]any{"server_ended": true})
	if lines.FilterMessage("server_ended").Len() != 1 {
		t.Errorf("%d server_ended entries, want 1", lines.FilterMessage("server_ended").Len())
	}
	if ends["fingerprint"] == goesOn["fingerprint"] || ends["fingerprint"] == "" {
		t.Error("requests with different bodies have the same fingerprint, or none")
	}
}
