package fleet

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/storage"
	"github.com/applepier/applepier/internal/storage/storagetest"
	"github.com/applepier/applepier/internal/targets"
	"github.com/applepier/applepier/internal/timeline"
	"github.com/applepier/applepier/internal/wire"
)

const (
	// benchModels times subsetSize are the links of the benchmark.
	benchModels = 8
	// benchSpan is over how long their bytes are counted.
	benchSpan = 30 * time.Second
)

// countedBytes is the traffic of a process, both ways.
type countedBytes struct{ atomic.Int64 }

func (c *countedBytes) Sent(bytes int)     { c.Add(int64(bytes)) }
func (c *countedBytes) Received(bytes int) { c.Add(int64(bytes)) }

// silentListener hears nothing that matters here.
type silentListener struct{}

func (silentListener) Granted(string, string) bool                { return true }
func (silentListener) Refused(string, wire.Reason, time.Duration) {}
func (silentListener) Lost(string)                                {}

// waitingAgent answers pings and lets tickets wait.
func waitingAgent(local wire.Local) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, err := wire.Accept(w, r, local)
		if err != nil {
			return
		}
		defer conn.Close()
		for {
			m, err := conn.Receive(r.Context())
			if err != nil {
				return
			}
			if m.Ping != nil {
				_ = conn.Send(wire.Message{Status: &wire.Status{Seq: m.Ping.Seq, Waiting: 12, Running: 8, Limit: 16}})
			}
		}
	}
}

func benchLocal(t wire.Traffic) wire.Local {
	return wire.Local{Clock: &timeline.Clock{}, TargetsVersion: func() uint64 { return 0 }, Traffic: t}
}

// BenchmarkWatching is what an entry sends and receives to watch 192
// connections, each with tickets that wait the whole time: B/s at the entry,
// without the tickets. Run it with -benchtime 1x; it takes half a minute a tier.
func BenchmarkWatching(b *testing.B) {
	web := httptest.NewServer(waitingAgent(benchLocal(&countedBytes{})))
	b.Cleanup(web.Close)
	var vms []storage.VM
	for i := range benchModels * subsetSize {
		vms = append(vms, storage.VM{Name: fmt.Sprintf("backend-%03d", i), Addr: strings.TrimPrefix(web.URL, "http://"), Role: storage.RoleBackend, Serves: fmt.Sprintf("model-%d", i%benchModels)})
	}
	for _, tier := range []int{0, 2} {
		b.Run(fmt.Sprintf("tier=%d", tier), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(watchedBytes(b, vms, tier)/benchSpan.Seconds(), "B/s")
			}
		})
	}
}

func watchedBytes(b *testing.B, vms []storage.VM, tier int) float64 {
	var traffic countedBytes
	f, stop := runFleet(benchLocal(&traffic), vms...)
	for _, vm := range vms {
		t := &wire.Ticket{Request: "r-" + vm.Name, Attempt: 1, Tier: tier, Serves: vm.Serves}
		for !f.Place(vm.Name, t, silentListener{}) {
			time.Sleep(time.Millisecond)
		}
	}
	start := traffic.Load()
	time.Sleep(benchSpan)
	bytes := traffic.Load() - start
	stop()
	return float64(bytes)
}

// runFleet runs a Fleet with a list of VMs until stop.
func runFleet(local wire.Local, vms ...storage.VM) (f *Fleet, stop func()) {
	f = New(Config{
		Process: "entry-1", Local: local, Holder: targets.NewHolder(),
		List: storagetest.NewVMList(vms...), Ring: timeline.NewRing("entry-1", &timeline.Clock{}, 16), Log: zap.NewNop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	return f, func() { cancel(); <-done }
}
