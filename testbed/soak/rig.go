package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/testbed/fleet"
	"github.com/applepier/applepier/testbed/ports"
)

const (
	// servers are enough that half of them can be in trouble.
	servers = 5
	// callersEach is how many callers a gateway has: a small VM's part of a core
	// bears them.
	callersEach = 30
	// lookEvery is how often a gateway's metrics and descriptors are looked at.
	lookEvery   = 150 * time.Millisecond
	startWithin = 20 * time.Second
)

// Lines in bits a second and parts of a core of entry VMs, as operators have
// them.
var (
	lines = []float64{10e6, 20e6, 50e6}
	parts = []float64{0.144, 0.3, 0.8}
)

// rig is everything that one seed plays with.
type rig struct {
	config   Config
	programs *fleet.Programs
	store    *storeProcess
	gateways []*gatewayProcess
	servers  []*serverProcess
	state    *desired
	// mu guards what follows; nothing is locked while it is held.
	mu      sync.Mutex
	history History
	failed  error
}

// newRig starts the processes, the first desired state in force.
func newRig(ctx context.Context, c Config, dir string) (*rig, error) {
	ctx, cancel := context.WithTimeout(ctx, startWithin)
	defer cancel()
	r := &rig{config: c, programs: fleet.NewPrograms(dir), state: newDesired()}
	r.history.Bounds = Bounds{Contact: contact, Revoke: revokeWithin, Recover: recoverWithin, MemoryMB: memoryMB, Descriptors: descriptors}
	var err error
	if r.store, err = newStore(r.programs, c.Soak); err != nil {
		return r, err
	}
	if err := r.store.Restart(ctx); err != nil {
		return r, err
	}
	if err := r.desire(ctx, 0, 0, false); err != nil {
		return r, err
	}
	for n := range servers {
		s, err := newServer(r.programs, dir, c.Soak, fmt.Sprintf("server-%d", n), r.store)
		if err != nil {
			return r, err
		}
		r.servers = append(r.servers, s)
		if err := s.begin(ctx); err != nil {
			return r, err
		}
	}
	random := rand.New(rand.NewPCG(c.Seed, 0))
	for n := range c.Gateways {
		g, err := newGateway(r.programs, dir, c.Gateway, fmt.Sprintf("gateway-%d", n), r.store, lines[random.IntN(len(lines))])
		if err != nil {
			return r, err
		}
		r.gateways = append(r.gateways, g)
		if err := g.Restart(ctx); err != nil {
			return r, err
		}
	}
	return r, nil
}

// end ends all processes.
func (r *rig) end() {
	for _, g := range r.gateways {
		_ = g.Kill()
		g.front.close()
		g.store.close()
		ports.Release(g.addr(), g.admin, g.peers)
	}
	for _, s := range r.servers {
		if s.Process != nil {
			_ = s.Kill()
		}
		s.path.close()
		ports.Release(s.listen, s.control)
	}
	_ = r.store.Kill()
	ports.Release(r.store.listen, r.store.duties, r.store.control)
	r.programs.Close()
}

// desire writes another desired state.
func (r *rig) desire(ctx context.Context, idle time.Duration, routes int, otherKey bool) error {
	document, acknowledged := r.state.change(idle, routes, otherKey)
	if err := r.store.put(ctx, "op", "config", document); err != nil {
		return errors.Wrap(err, "desired state")
	}
	acknowledged()
	return nil
}

// took takes a call.
func (r *rig) took(c Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Calls = append(r.history.Calls, c)
}

// hit keeps a fault that begins now, and returns what ends it.
func (r *rig) hit(who, kind string) (lifted func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Faults = append(r.history.Faults, Fault{Who: who, Kind: kind, From: time.Now()})
	at := len(r.history.Faults) - 1
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.history.Faults[at].To = time.Now()
	}
}

// fail keeps the first failure of the soak itself.
func (r *rig) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failed == nil {
		r.failed = err
	}
}

// watch looks at a gateway until ctx ends.
func (r *rig) watch(ctx context.Context, g *gatewayProcess) {
	for ; ctx.Err() == nil; sleep(ctx, lookEvery) {
		if reading, ok := g.look(ctx); ok {
			r.mu.Lock()
			r.history.Readings = append(r.history.Readings, reading)
			r.mu.Unlock()
		}
	}
}

// probe calls a gateway anew until it serves.
func (r *rig) probe(ctx context.Context, g *gatewayProcess, kind string) {
	began := time.Now()
	probe := Probe{Gateway: g.name, Kind: kind, After: -1}
	for n := 0; probe.After < 0 && ctx.Err() == nil && time.Since(began) < recoverWithin; n++ {
		c := &caller{gateway: g.name, addr: g.front.addr(), random: rand.New(rand.NewPCG(r.config.Seed, 0)), state: r.state}
		if c.connect(ctx) {
			key := lastingKey
			if kind == kindOpen {
				key = ""
			}
			call := c.call(fmt.Sprintf("probe-%s-%s-%d", g.name, kind, n), kind, key)
			c.hangUp()
			r.took(call)
			if call.Status == 200 && call.Whole {
				probe.After = time.Since(began)
			}
		}
		sleep(ctx, reconnectPause)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Probes = append(r.history.Probes, probe)
}

// collect reads what the servers have recorded.
func (r *rig) collect(dir string) (History, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.States = r.state.all()
	for _, s := range r.servers {
		arrivals, err := s.arrivals()
		if err != nil {
			return r.history, errors.Wrap(err, filepath.Join(dir, s.name))
		}
		r.history.Arrivals = append(r.history.Arrivals, arrivals...)
	}
	// The platform judges what has come to it until now.
	limit, cancel := context.WithTimeout(context.Background(), startWithin)
	defer cancel()
	var err error
	r.history.Duties, err = r.store.judged(limit)
	return r.history, err
}
