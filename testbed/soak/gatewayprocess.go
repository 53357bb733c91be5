package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/testbed/fleet"
	"github.com/applepier/applepier/testbed/ports"
)

const (
	// grace is how long a gateway may take to stop, and revokeWithin how soon a
	// key must stop working: what operators set.
	grace        = 8 * time.Second
	revokeWithin = 5 * time.Second
	// usageWindow, usageDelay and usageLease are of the report of usage.
	usageWindow = time.Second
	usageDelay  = 4 * time.Second
	usageLease  = time.Second
	// memoryMB is a small entry VM's.
	memoryMB = 184
)

// gatewayProcess is a gateway and its paths.
type gatewayProcess struct {
	*fleet.Process
	name, file         string
	admin, peers       string
	duties             string
	front, store       *proxy
	retryExtra, within int
	// life is held by whoever stops or starts the process; before mu.
	life sync.Mutex
	// mu guards what follows; nothing is locked while it is held.
	mu     sync.Mutex
	listen string
	frozen int
}

// newGateway gives a gateway its paths and settings; line is what the VM takes
// in, in bits a second.
func newGateway(programs *fleet.Programs, dir, program, name string, platform *storeProcess, line float64) (*gatewayProcess, error) {
	var addrs [3]string
	for i := range addrs {
		addr, err := ports.Free()
		if err != nil {
			return nil, err
		}
		addrs[i] = addr
	}
	g := &gatewayProcess{
		name: name, file: filepath.Join(dir, name+".yaml"), listen: addrs[0], admin: addrs[1], peers: addrs[2],
		duties: platform.duties, retryExtra: 50, within: int(revokeWithin / time.Second),
	}
	in := &link{bits: line}
	var err error
	if g.front, err = newProxy(g.listen, [directions]*link{up: in}); err != nil {
		return nil, err
	}
	if g.store, err = newProxy(platform.listen, [directions]*link{down: in}); err != nil {
		return nil, err
	}
	// A small VM has one core.
	g.Process = programs.New(name, g.addr, "/usr/bin/env", "GOMAXPROCS=1", program, "gateway", "serve", "--settings", g.file)
	return g, g.writeSettings()
}

func (g *gatewayProcess) addr() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.listen
}

// writeSettings writes the settings file, at once for whoever reads it.
func (g *gatewayProcess) writeSettings() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	text := fmt.Sprintf("process: %s\nzone: z\nlisten: %s\nadmin_listen: %s\nready_path: /ready\npeer_listen: %s\nstore: %s\nmemory_mb: %d\n"+
		"revoke:\n  strict: true\n  within: %ds\nretry:\n  ratio: 0.2\n  extra: %d\n  window: 10s\ngrace: %s\n"+
		"usage:\n  addr: %s\n  duties: metering\n  window: %s\n  delay: %s\n  lease: %s\nlog:\n  level: debug\n",
		g.name, g.listen, g.admin, g.peers, g.store.addr(), memoryMB, g.within, g.retryExtra, grace, g.duties, usageWindow, usageDelay, usageLease)
	if err := os.WriteFile(g.file+".new", []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "settings")
	}
	return os.Rename(g.file+".new", g.file)
}

// change changes settings that are taken in while the process runs; keys never
// work longer than they may at first.
func (g *gatewayProcess) change(n int) error {
	g.mu.Lock()
	g.retryExtra, g.within = 30+n%40, int(revokeWithin/time.Second)-n%2
	g.mu.Unlock()
	return g.writeSettings()
}

// move has the next start listen elsewhere.
func (g *gatewayProcess) move() error {
	addr, err := ports.Free()
	if err != nil {
		return err
	}
	g.mu.Lock()
	ports.Release(g.listen)
	g.listen = addr
	g.mu.Unlock()
	g.front.lead(addr)
	return g.writeSettings()
}

// freeze adds a reason to stand still, or takes one away.
func (g *gatewayProcess) freeze(by int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.frozen > 0
	g.frozen += by
	// Whoever isn't running can't stand still.
	if now := g.frozen > 0; now && !before {
		_ = g.Stop()
	} else if before && !now {
		_ = g.Continue()
	}
}

// hangUp sends SIGHUP.
func (g *gatewayProcess) hangUp() {
	if pid := g.PID(); pid > 0 {
		_ = syscall.Kill(pid, syscall.SIGHUP)
	}
}

// look reads what the process tells of itself and what it uses.
func (g *gatewayProcess) look(ctx context.Context) (Reading, bool) {
	r := Reading{Gateway: g.name, Process: g.PID(), At: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	text, err := do(ctx, http.MethodGet, "http://"+g.admin+"/metrics", nil)
	for line := range strings.Lines(text) {
		if strings.HasPrefix(line, "applepier_targets_version") {
			_, err = fmt.Sscan(line[strings.LastIndex(line, " "):], &r.Version)
		}
	}
	open, dirErr := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.Process))
	status, statusErr := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.Process))
	// One that ended meanwhile tells nothing.
	if err != nil || dirErr != nil || statusErr != nil || r.Process == 0 || r.Process != g.PID() {
		return r, false
	}
	r.Descriptors = len(open)
	if _, resident, found := strings.Cut(string(status), "VmRSS:"); found {
		_, _ = fmt.Sscan(resident, &r.MemoryMB)
		r.MemoryMB /= 1 << 10
	}
	return r, true
}
