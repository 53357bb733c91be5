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
	// benchModels times subsetSize is the number of links in the benchmark.
	benchModels = 8
	// benchDuration is how long the traffic is counted.
	benchDuration = 30 * time.Second
)

// trafficCounter counts the bytes that a process sends and receives.
type trafficCounter struct{ atomic.Int64 }

func (c *trafficCounter) Sent(bytes int)     { c.Add(int64(bytes)) }
func (c *trafficCounter) Received(bytes int) { c.Add(int64(bytes)) }

// nopTicketHandler accepts all grants and ignores all other replies.
type nopTicketHandler struct{}

func (nopTicketHandler) Granted(string, string) bool                { return true }
func (nopTicketHandler) Refused(string, wire.Reason, time.Duration) {}
func (nopTicketHandler) Lost(string)                                {}

// pingOnlyAgent is the handler of an agent that answers pings and ignores all other
// messages, so that tickets stay pending.
func pingOnlyAgent(local wire.Config) http.HandlerFunc {
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

func testLocal(t wire.TrafficCounter) wire.Config {
	return wire.Config{Clock: &timeline.Clock{}, TargetsVersion: func() uint64 { return 0 }, Traffic: t}
}

// BenchmarkLivenessTraffic measures the bytes per second that an entry sends and
// receives to monitor 192 connections, each with a ticket pending the whole time.
// The tickets themselves are not counted. Run it with -benchtime 1x; it takes half
// a minute per tier.
func BenchmarkLivenessTraffic(b *testing.B) {
	web := httptest.NewServer(pingOnlyAgent(testLocal(&trafficCounter{})))
	b.Cleanup(web.Close)
	var vms []storage.VM
	for i := range benchModels * subsetSize {
		vms = append(vms, storage.VM{Name: fmt.Sprintf("backend-%03d", i), Addr: strings.TrimPrefix(web.URL, "http://"), Role: storage.RoleBackend, Serves: fmt.Sprintf("model-%d", i%benchModels)})
	}
	for _, tier := range []int{0, 2} {
		b.Run(fmt.Sprintf("tier=%d", tier), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(measureTraffic(b, vms, tier)/benchDuration.Seconds(), "B/s")
			}
		})
	}
}

func measureTraffic(b *testing.B, vms []storage.VM, tier int) float64 {
	var traffic trafficCounter
	f, stop := runFleet(testLocal(&traffic), vms...)
	for _, vm := range vms {
		t := &wire.Ticket{RequestID: "r-" + vm.Name, Attempt: 1, Tier: tier, Serves: vm.Serves}
		for !f.Place(vm.Name, t, nopTicketHandler{}) {
			time.Sleep(time.Millisecond)
		}
	}
	start := traffic.Load()
	time.Sleep(benchDuration)
	bytes := traffic.Load() - start
	stop()
	return float64(bytes)
}

// runFleet runs a Fleet with the given VMs until stop is called.
func runFleet(local wire.Config, vms ...storage.VM) (f *Fleet, stop func()) {
	f = New(Config{
		Process: "entry-1", Local: local, Targets: targets.NewCache(),
		VMList: storagetest.NewVMList(vms...), Timeline: timeline.NewRing("entry-1", &timeline.Clock{}, 16), Log: zap.NewNop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	return f, func() { cancel(); <-done }
}
