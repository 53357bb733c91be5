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
	"github.com/applepier/applepier/testbed/retries"
)

const (
	// serverCount is the number of backend servers. Half of them, rounded down, get
	// faults that excuse a lost request.
	serverCount = 5
	// callersPerGateway is a load that a small VM's fraction of a core can serve.
	callersPerGateway = 30
	// sampleInterval is how often a gateway's metrics and descriptors are read.
	sampleInterval = 150 * time.Millisecond
	// startTimeout bounds the start of all processes, and the final request for
	// the platform's record.
	startTimeout = 20 * time.Second
)

// Bandwidths, in bits per second, and CPU quotas, in fractions of a core, of the entry
// VMs that operators use. Each gateway draws one of each.
var (
	bandwidths    = []float64{10e6, 20e6, 50e6}
	coreFractions = []float64{0.144, 0.3, 0.8}
)

// harness holds the processes and the recorded history of one seed's run.
type harness struct {
	config   Config
	programs *fleet.ProcessGroup
	store    *storeProcess
	gateways []*gatewayProcess
	servers  []*serverProcess
	states   *stateGenerator
	// mu guards the fields below. collect locks stateGenerator.mu while it holds mu;
	// no lock is held when mu is locked.
	mu       sync.Mutex
	history  History
	firstErr error
}

// newHarness writes the first desired state and starts the processes. The harness
// is returned with an error too, so that the caller can close it.
func newHarness(ctx context.Context, c Config, dir string) (*harness, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	h := &harness{config: c, programs: fleet.NewProcessGroup(dir), states: newStateGenerator()}
	h.history.Bounds = Bounds{Contact: faultMargin, Revoke: revokeTimeout, Drain: drainBound, Retries: retries.Rule{Ratio: retryRatio, Extra: maxRetryExtra, Window: retryWindow}, Recover: recoveryTimeout, MemoryMB: memoryMB, Descriptors: maxDescriptors}
	var err error
	if h.store, err = newStore(h.programs, c.Soak); err != nil {
		return h, err
	}
	if err := h.store.Restart(ctx); err != nil {
		return h, err
	}
	if err := h.writeState(ctx, 0, 0, false); err != nil {
		return h, err
	}
	for n := range serverCount {
		s, err := newServer(h.programs, dir, c.Soak, fmt.Sprintf("server-%d", n), softwareVersions[n%2], h.store)
		if err != nil {
			return h, err
		}
		s.direct = c.Segments
		h.servers = append(h.servers, s)
		h.beginServerSpan(s)
		if err := s.startInstance(ctx); err != nil {
			return h, err
		}
	}
	random := rand.New(rand.NewPCG(c.Seed, 0))
	for n := range c.Gateways {
		name, program := fmt.Sprintf("gateway-%d", n), c.Gateway
		if c.Earlier != "" && n%2 == 1 {
			program = c.Earlier
			h.history.Earlier = append(h.history.Earlier, name)
		}
		g, err := newGateway(h.programs, dir, program, name, h.store, bandwidths[random.IntN(len(bandwidths))])
		if err != nil {
			return h, err
		}
		h.gateways = append(h.gateways, g)
		if err := g.Restart(ctx); err != nil {
			return h, err
		}
	}
	return h, nil
}

// close kills all processes and releases their ports.
func (h *harness) close() {
	for _, g := range h.gateways {
		_ = g.Kill()
		g.frontProxy.close()
		g.storeProxy.close()
		ports.Release(g.addr(), g.adminAddr, g.peerAddr)
	}
	for _, s := range h.servers {
		if s.Process != nil {
			_ = s.Kill()
		}
		s.proxy.close()
		ports.Release(s.listenAddr, s.controlAddr)
	}
	if h.store != nil {
		_ = h.store.Kill()
		ports.Release(h.store.listenAddr, h.store.dutiesAddr, h.store.controlAddr)
	}
	h.programs.Close()
}

// writeState creates the next desired state and writes it to the store. The
// parameters are those of stateGenerator.next.
func (h *harness) writeState(ctx context.Context, idleTimeout time.Duration, addRoutes int, replaceKey bool) error {
	document, acknowledged := h.states.next(idleTimeout, addRoutes, replaceKey)
	if err := h.store.put(ctx, "op", "config", document); err != nil {
		return errors.Wrap(err, "write desired state")
	}
	acknowledged()
	return nil
}

// recordCall adds a call to the history.
func (h *harness) recordCall(c Call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.history.Calls = append(h.history.Calls, c)
}

// recordFault adds a fault that begins now to the history and returns the function
// that records its end.
func (h *harness) recordFault(process, kind string) (end func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.history.Faults = append(h.history.Faults, Fault{Who: process, Kind: kind, From: time.Now()})
	index := len(h.history.Faults) - 1
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.history.Faults[index].To = time.Now()
	}
}

// beginServerSpan records that a server's instance serves from now on.
func (h *harness) beginServerSpan(s *serverProcess) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.history.Servers = append(h.history.Servers, ServerSpan{Server: s.name, Version: s.version, From: time.Now()})
}

// endServerSpan records that a server's instance no longer serves new requests.
func (h *harness) endServerSpan(s *serverProcess) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.history.Servers {
		if span := &h.history.Servers[i]; span.Server == s.name && span.To.IsZero() {
			span.To = time.Now()
		}
	}
}

// otherGateways returns all gateways but one.
func (h *harness) otherGateways(index int) []*gatewayProcess {
	others := make([]*gatewayProcess, 0, len(h.gateways)-1)
	for n, g := range h.gateways {
		if n != index {
			others = append(others, g)
		}
	}
	return others
}

// fail records an error of the soak itself; only the first is kept.
func (h *harness) fail(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.firstErr == nil {
		h.firstErr = err
	}
}

// sampleGateway records readings of a gateway until ctx is done.
func (h *harness) sampleGateway(ctx context.Context, g *gatewayProcess) {
	for ; ctx.Err() == nil; sleep(ctx, sampleInterval) {
		if reading, ok := g.sample(ctx); ok {
			h.mu.Lock()
			h.history.Readings = append(h.history.Readings, reading)
			h.mu.Unlock()
		}
	}
}

// probe sends requests over new connections until the gateway serves one or
// recoveryTimeout has passed, and records how long that took.
func (h *harness) probe(ctx context.Context, g *gatewayProcess, kind string) {
	started := time.Now()
	probe := Probe{Gateway: g.name, Kind: kind, After: -1}
	for n := 0; probe.After < 0 && ctx.Err() == nil && time.Since(started) < recoveryTimeout; n++ {
		c := &caller{gateway: g.name, addr: g.frontProxy.addr(), random: rand.New(rand.NewPCG(h.config.Seed, 0)), state: h.states}
		if c.connect(ctx) {
			key := permanentKey
			if kind == kindOpen {
				key = ""
			}
			call := c.send(Call{ID: fmt.Sprintf("probe-%s-%s-%d", g.name, kind, n), Kind: kind, Key: key})
			c.closeConn()
			h.recordCall(call)
			if call.Status == 200 && call.Whole {
				probe.After = time.Since(started)
			}
		}
		sleep(ctx, reconnectDelay)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.history.Probes = append(h.history.Probes, probe)
}

// collect completes the history with what the servers and the platform recorded.
func (h *harness) collect(dir string) (History, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.history.States = h.states.snapshot()
	for _, s := range h.servers {
		arrivals, err := s.arrivals()
		if err != nil {
			return h.history, errors.Wrap(err, "read arrivals of "+filepath.Join(dir, s.name))
		}
		h.history.Arrivals = append(h.history.Arrivals, arrivals...)
		for _, a := range arrivals {
			if a.Crashed {
				h.history.Faults = append(h.history.Faults, Fault{Who: a.Server, Kind: kindServerCrash, From: a.At, To: a.At})
			}
		}
	}
	// The record covers the calls that the platform has received so far.
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	var err error
	h.history.Duties, err = h.store.dutiesReport(ctx)
	return h.history, err
}
