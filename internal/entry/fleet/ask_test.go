package fleet

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/storage"
	"github.com/applepier/applepier/internal/storage/storagetest"
	"github.com/applepier/applepier/internal/targets"
	"github.com/applepier/applepier/internal/timeline"
)

// TestAskStatus: an agent that says nothing unasked is seen as it is now.
func TestAskStatus(t *testing.T) {
	web := httptest.NewServer(waitingAgent(benchLocal(&countedBytes{})))
	defer web.Close()
	vm := storage.VM{Name: "backend-1", Addr: strings.TrimPrefix(web.URL, "http://"), Role: storage.RoleBackend, Serves: "m"}
	f := New(Config{
		Process: "entry-1", Local: benchLocal(&countedBytes{}), Holder: targets.NewHolder(),
		List: storagetest.NewVMList(vm), Ring: timeline.NewRing("entry-1", &timeline.Clock{}, 16), Log: zap.NewNop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	defer func() { cancel(); <-done }()
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
