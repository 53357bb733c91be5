package fleet

import (
	"slices"
	"testing"

	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/metrics"
	"github.com/applepier/applepier/internal/storage"
	"github.com/applepier/applepier/internal/targets"
	"github.com/applepier/applepier/internal/timeline"
	"github.com/applepier/applepier/internal/wire"
)

func TestUnlistedAgentsAreRemoved(t *testing.T) {
	var removed []string
	clock := &timeline.Clock{}
	f := New(Config{
		Process:        "entry",
		Local:          wire.Config{Clock: clock, TargetsVersion: func() uint64 { return 0 }, Traffic: metrics.New().Control},
		Targets:        targets.NewCache(),
		Timeline:       timeline.NewRing("entry", clock, 16),
		Log:            zap.NewNop(),
		OnAgentRemoved: func(agent string) { removed = append(removed, agent) },
	})
	stays := storage.VM{Name: "stays", Addr: "127.0.0.1:1", Role: storage.RoleBackend, Serves: "m"}
	leaves := storage.VM{Name: "leaves", Addr: "127.0.0.1:1", Role: storage.RoleBackend, Serves: "m"}
	f.applyVMList(t.Context(), []storage.VM{stays, leaves})
	f.applyVMList(t.Context(), []storage.VM{stays})
	if !slices.Equal(removed, []string{"leaves"}) {
		t.Fatalf("removed agents: got %q, want only the unlisted one", removed)
	}
	if _, ok := f.findLink("stays"); !ok {
		t.Fatal("an agent that is still listed was removed")
	}
}

// Guards against a change of the VM list making entries drop and redial many
// connections: when one VM is removed, at most one other agent is selected.
func TestSubsetIsStableAcrossVMChanges(t *testing.T) {
	f := New(Config{Process: "entry"})
	var vms []storage.VM
	for i := range 100 {
		vms = append(vms, storage.VM{Name: string(rune('a'+i%26)) + string(rune('a'+i/26)), Role: storage.RoleBackend, Serves: "m"})
	}
	before := f.subset(vms)
	after := f.subset(vms[1:])
	changed := 0
	for name := range after {
		if _, ok := before[name]; !ok {
			changed++
		}
	}
	if len(before) != subsetSize || len(after) != subsetSize || changed > 1 {
		t.Fatalf("subset: %d agents, then %d with %d new ones", len(before), len(after), changed)
	}
}
