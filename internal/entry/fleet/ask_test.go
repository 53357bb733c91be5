package fleet

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/applepier/applepier/internal/storage"
)

// TestAskStatus: an agent that says nothing unasked is seen as it is now.
func TestAskStatus(t *testing.T) {
	f := runWithOneAgent(t)
	ctx := t.Context()
	for deadline := time.Now().Add(time.Minute); ; time.Sleep(time.Millisecond) {
		f.AskStatus(ctx)
		if agents := f.Agents(); len(agents) == 1 && agents[0].Running == 8 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("agents: %+v", f.Agents())
		}
	}
}

// TestUnansweredVoidIsForgotten: an agent that doesn't answer isn't watched as
// if an urgent request waited there for as long as the connection lasts.
func TestUnansweredVoidIsForgotten(t *testing.T) {
	f := runWithOneAgent(t)
	for deadline := time.Now().Add(time.Minute); ; time.Sleep(time.Millisecond) {
		if agents := f.Agents(); len(agents) == 1 && agents[0].Connected {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the agent is not connected")
		}
	}
	l, _ := f.find(agentName)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := f.Void(ctx, agentName, "grant-1"); err == nil {
		t.Error("an agent that says nothing has voided a grant")
	}
	if l.busy() {
		t.Error("the connection still waits for the answer")
	}
}

// agentName is the one agent's of runWithOneAgent.
const agentName = "backend-1"

// runWithOneAgent runs a Fleet with one agent, which answers nothing but pings.
func runWithOneAgent(t *testing.T) *Fleet {
	web := httptest.NewServer(waitingAgent(benchLocal(&countedBytes{})))
	t.Cleanup(web.Close)
	vm := storage.VM{Name: agentName, Addr: strings.TrimPrefix(web.URL, "http://"), Role: storage.RoleBackend, Serves: "m"}
	f, stop := runFleet(benchLocal(&countedBytes{}), vm)
	t.Cleanup(stop)
	return f
}
