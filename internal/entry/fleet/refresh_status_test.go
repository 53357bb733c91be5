package fleet

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/applepier/applepier/internal/storage"
	"github.com/applepier/applepier/internal/wire"
)

// TestRefreshStatus guards against showing operators an outdated status of an
// agent that does not send its status without a request.
func TestRefreshStatus(t *testing.T) {
	f := runWithOneAgent(t)
	ctx := t.Context()
	for deadline := time.Now().Add(time.Minute); ; time.Sleep(time.Millisecond) {
		f.RefreshStatus(ctx)
		if agents := f.Agents(); len(agents) == 1 && agents[0].Running == 8 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("agents: %+v", f.Agents())
		}
	}
}

// TestUnansweredVoidIsRemoved guards against an unanswered Void that stays pending
// and keeps the connection monitored at watchUrgent until it is closed.
func TestUnansweredVoidIsRemoved(t *testing.T) {
	f := runWithOneAgent(t)
	l := awaitConnected(t, f)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := f.Void(ctx, agentName, "grant-1"); err == nil {
		t.Error("Void succeeded without an answer from the agent")
	}
	if l.hasPendingWork() {
		t.Error("the unanswered Void is still pending")
	}
}

// TestAllVoidsOfAGrantAreAnswered guards against a repeated call that ends with an unknown
// outcome because another repeat voided the same grant at the same moment.
func TestAllVoidsOfAGrantAreAnswered(t *testing.T) {
	f := runWithOneAgent(t)
	l := awaitConnected(t, f)
	var voids conc.WaitGroup
	for range 2 {
		voids.Go(func() {
			if result, err := f.Void(t.Context(), agentName, "grant-1"); result != wire.VoidDone {
				t.Errorf("Void: %q, %v; want %q", result, err, wire.VoidDone)
			}
		})
	}
	// Both have been sent when the agent responds.
	for waiting := 0; waiting < 2; time.Sleep(time.Millisecond) {
		l.mu.Lock()
		waiting = len(l.pendingVoids["grant-1"])
		l.mu.Unlock()
	}
	l.handleVoided(&wire.Voided{GrantID: "grant-1", Result: wire.VoidDone})
	voids.Wait()
	if l.hasPendingWork() {
		t.Error("an answered Void is still pending")
	}
}

// awaitConnected waits until the agent is connected and returns its link.
func awaitConnected(t *testing.T, f *Fleet) *link {
	t.Helper()
	for deadline := time.Now().Add(time.Minute); ; time.Sleep(time.Millisecond) {
		if agents := f.Agents(); len(agents) == 1 && agents[0].Connected {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the agent is not connected")
		}
	}
	l, _ := f.findLink(agentName)
	return l
}

// agentName is the name of the agent started by runWithOneAgent.
const agentName = "backend-1"

// runWithOneAgent runs a Fleet with one agent, which only answers pings.
func runWithOneAgent(t *testing.T) *Fleet {
	web := httptest.NewServer(pingOnlyAgent(testLocal(&trafficCounter{})))
	t.Cleanup(web.Close)
	vm := storage.VM{Name: agentName, Addr: strings.TrimPrefix(web.URL, "http://"), Role: storage.RoleBackend, Serves: "m"}
	f, stop := runFleet(testLocal(&trafficCounter{}), vm)
	t.Cleanup(stop)
	return f
}
