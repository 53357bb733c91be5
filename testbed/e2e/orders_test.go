package e2e

import (
	"context"
	"testing"
	"time"

	"github.com/applepier/applepier/internal/targets"
	"github.com/applepier/applepier/testbed/fleet"
)

// reloadTimeout bounds the wait until another engine has loaded the model: the
// model must be absent for 15 s, and agents poll for orders about every 10 s.
const reloadTimeout = 2 * time.Minute

// TestModelThatLostItsEngineIsLoadedElsewhere kills the only engine of a model and
// its agent. The lease holder must order another engine to load the model, so that
// requests of its class are served again.
func TestModelThatLostItsEngineIsLoadedElsewhere(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), reloadTimeout)
	defer cancel()
	backends := append(fleet.Engines(2, "other-model", 8, 2*time.Millisecond), fleet.Engines(1, model, 8, 2*time.Millisecond)...)
	f, err := fleet.Start(ctx, fleet.Options{Entries: 2, Backends: backends, Classes: []targets.Class{
		{Name: "condition-summary", Tier: 4, Model: model, Completion: time.Minute, Repeatable: true},
		{Name: "planner-question", Tier: 2, Model: "other-model", FirstToken: 5 * time.Second, Repeatable: true},
	}})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	killed := f.Backends[2]
	if err := killed.Agent.Kill(); err != nil {
		t.Fatal(err)
	}
	if err := killed.Server.Kill(); err != nil {
		t.Fatal(err)
	}
	client := newClient(f.Entries[0], "condition-summary")
	for {
		_, err := client.Chat.Completions.New(ctx, params(4))
		if err == nil {
			return
		}
		if ctx.Err() != nil {
			t.Fatalf("no other engine loaded the model: %v", err)
		}
	}
}
