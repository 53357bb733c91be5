package matrix

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/applepier/applepier/internal/storage"
	"github.com/applepier/applepier/testbed/faultproxy"
	"github.com/applepier/applepier/testbed/fleet"
	"github.com/applepier/applepier/testbed/history"
)

// Size of a cell's fleet.
const (
	entryCount     = 2
	engineCount    = 2
	engineCapacity = 4
	tokenInterval  = 10 * time.Millisecond
)

// harness is one cell's fleet, with a proxy in front of each agent.
type harness struct {
	fleet    *fleet.Fleet
	proxies  []*faultproxy.Proxy // by agent, in the order of fleet.Backends
	table    storage.Table
	recorder history.Recorder
	rng      *rand.Rand
	calls    conc.WaitGroup // calls in the background

	mu             sync.Mutex
	markerCount    int
	drained        map[*fleet.Entry]bool // entries that get no new calls
	waitingTickets []int                 // tickets waiting, by agent, as last reported
}

// newHarness starts the fleet of a cell.
func newHarness(ctx context.Context, binaries *fleet.Binaries, c Cell) (*harness, error) {
	h := &harness{
		rng:            rand.New(rand.NewPCG(c.Seed, c.Seed)),
		drained:        map[*fleet.Entry]bool{},
		waitingTickets: make([]int, engineCount),
	}
	backends := fleet.Engines(engineCount, model, engineCapacity, tokenInterval)
	served := classes()
	if c.Subject == SubjectLease {
		backends = append(backends, fleet.Engines(1, lostModel, engineCapacity, tokenInterval)...)
		served = append(served, lostClass())
	}
	if c.Subject == SubjectBurst {
		served = append(served, burstClass())
	}
	if c.Subject == SubjectService {
		backends = append(backends, services()...)
		served = append(served, serviceClass())
	}
	for i := range backends {
		backends[i].LoadReportInterval = c.loadReportAge()
		// The engines accept any fencing token, so that only the agents can refuse
		// orders with a stale one.
		backends[i].IgnoreFencingTokens = true
	}
	var err error
	h.fleet, err = fleet.Start(ctx, fleet.Options{
		Binaries:  binaries,
		Entries:   entryCount,
		Backends:  backends,
		Classes:   served,
		Customers: []string{customerLarge, customerSmall},
		Zones:     []string{"hervanta-sali", "lielahti-huone"},
		Route:     h.route,
	})
	if err != nil {
		h.close()
		return nil, err
	}
	h.table = newTable(h.fleet)
	return h, nil
}

// route puts a proxy in front of each agent and returns the address to dial.
func (h *harness) route(link fleet.Link) (string, error) {
	if link.Kind != fleet.LinkAgent {
		return link.Addr, nil
	}
	proxy, err := faultproxy.New(link.To, link.Addr)
	if err != nil {
		return "", err
	}
	agent := len(h.proxies)
	h.proxies = append(h.proxies, proxy)
	proxy.Observe(faultproxy.Downstream, func(e faultproxy.Event) { h.recordStatus(agent, e) })
	return proxy.Addr(), nil
}

// recordStatus records the number of waiting tickets that an agent reports.
func (h *harness) recordStatus(agent int, e faultproxy.Event) {
	if e.Message == nil || e.Message.Status == nil || agent >= engineCount {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.waitingTickets[agent] = e.Message.Status.Waiting
}

// allAgentsWaiting reports whether every agent has waiting tickets by its last
// status.
func (h *harness) allAgentsWaiting() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, waiting := range h.waitingTickets {
		if waiting == 0 {
			return false
		}
	}
	return true
}

func (h *harness) close() {
	if h.fleet != nil {
		h.fleet.Close()
	}
	for _, proxy := range h.proxies {
		proxy.Close()
	}
}

// newMarker returns a marker that is unique within the cell.
func (h *harness) newMarker(class string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.markerCount++
	return fmt.Sprintf("%s-%d", class, h.markerCount)
}

// drain stops sending new calls to an entry, as the platform's load balancer does
// once the entry's health check fails; undrain reverts it.
func (h *harness) drain(entry *fleet.Entry) { h.setDrained(entry, true) }

func (h *harness) undrain(entry *fleet.Entry) { h.setDrained(entry, false) }

func (h *harness) setDrained(entry *fleet.Entry, drained bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drained[entry] = drained
}

// pickEntry returns the n-th entry, or the next one that is not drained; nil if
// all are drained.
func (h *harness) pickEntry(n int) *fleet.Entry {
	h.mu.Lock()
	defer h.mu.Unlock()
	entries := h.fleet.Entries
	for i := range entries {
		entry := entries[(n+i)%len(entries)]
		if !h.drained[entry] {
			return entry
		}
	}
	return nil
}

// call sends a request and records the call.
func (h *harness) call(ctx context.Context, request callerRequest, entry *fleet.Entry) history.Call {
	call := request.send(ctx, entry)
	h.recorder.Call(call)
	return call
}
