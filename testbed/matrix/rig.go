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

// rig is one cell's fleet with a proxy before each agent.
type rig struct {
	fleet    *fleet.Fleet
	proxies  []*faultproxy.Proxy // by agent, in the order of fleet.Backends
	table    storage.Table
	recorder history.Recorder
	random   *rand.Rand
	calls    conc.WaitGroup // calls that nobody else waits for

	mu      sync.Mutex
	marks   int
	closed  map[*fleet.Entry]bool // entries that get no new calls
	waiting []int                 // tickets waiting, by agent, as last told
}

func newRig(ctx context.Context, binaries *fleet.Binaries, c Cell) (*rig, error) {
	r := &rig{
		random:  rand.New(rand.NewPCG(c.Seed, c.Seed)),
		closed:  map[*fleet.Entry]bool{},
		waiting: make([]int, engineCount),
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
		backends[i].LoadLag = c.loadLag()
		// The agents alone have to refuse orders under an old number.
		backends[i].IgnoresFence = true
	}
	var err error
	r.fleet, err = fleet.Start(ctx, fleet.Options{
		Binaries:  binaries,
		Entries:   entryCount,
		Backends:  backends,
		Classes:   served,
		Customers: []string{customerLarge, customerSmall},
		Zones:     []string{"hervanta-sali", "lielahti-huone"},
		Route:     r.route,
	})
	if err != nil {
		r.close()
		return nil, err
	}
	r.table = newTable(r.fleet)
	return r, nil
}

// route puts a proxy before each agent.
func (r *rig) route(link fleet.Link) (string, error) {
	if link.Kind != fleet.LinkAgent {
		return link.Addr, nil
	}
	proxy, err := faultproxy.New(link.To, link.Addr)
	if err != nil {
		return "", err
	}
	agent := len(r.proxies)
	r.proxies = append(r.proxies, proxy)
	proxy.Observe(faultproxy.Downstream, func(s faultproxy.Sight) { r.noteStatus(agent, s) })
	return proxy.Addr(), nil
}

func (r *rig) noteStatus(agent int, s faultproxy.Sight) {
	if s.Message == nil || s.Message.Status == nil || agent >= engineCount {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting[agent] = s.Message.Status.Waiting
}

// allWaiting reports whether every agent has said that tickets wait.
func (r *rig) allWaiting() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, waiting := range r.waiting {
		if waiting == 0 {
			return false
		}
	}
	return true
}

func (r *rig) close() {
	if r.fleet != nil {
		r.fleet.Close()
	}
	for _, proxy := range r.proxies {
		proxy.Close()
	}
}

// mark returns a marker that no other work of the cell has.
func (r *rig) mark(class string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.marks++
	return fmt.Sprintf("%s-%d", class, r.marks)
}

// shut keeps new calls from an entry, as the platform's balancer does once
// its health check fails; open undoes it.
func (r *rig) shut(entry *fleet.Entry) { r.setClosed(entry, true) }

func (r *rig) open(entry *fleet.Entry) { r.setClosed(entry, false) }

func (r *rig) setClosed(entry *fleet.Entry, closed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed[entry] = closed
}

// pick returns an entry that takes calls, in turn by n; nil when none does.
func (r *rig) pick(n int) *fleet.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	entries := r.fleet.Entries
	for i := range entries {
		entry := entries[(n+i)%len(entries)]
		if !r.closed[entry] {
			return entry
		}
	}
	return nil
}

// call makes a request and notes it.
func (r *rig) call(ctx context.Context, a ask, entry *fleet.Entry) history.Call {
	call := a.send(ctx, entry)
	r.recorder.Call(call)
	return call
}
