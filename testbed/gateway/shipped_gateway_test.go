package gateway_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"github.com/applepier/applepier/internal/settings"
	"github.com/applepier/applepier/testbed/fleet"
	"github.com/applepier/applepier/testbed/gateway"
)

// shippedGateway runs the gateway program, built as it is shipped: without the race detector, which takes
// several times the memory and the processor time.
type shippedGateway struct {
	t        *testing.T
	programs *fleet.ProcessGroup
	program  string
	// mu guards process, which is nil until the program has started; no other lock is acquired while it is
	// held.
	mu      sync.Mutex
	process *fleet.Process
}

// buildProgram builds the gateway program and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	binaries, err := fleet.Build(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(binaries.Remove)
	return binaries.Entry
}

func newShippedGateway(t *testing.T, program string) *shippedGateway {
	g := &shippedGateway{t: t, programs: fleet.NewProcessGroup(t.TempDir()), program: program}
	t.Cleanup(g.programs.Close)
	return g
}

// start starts the program with settings, and environment variables in the form NAME=value.
func (g *shippedGateway) start(ctx context.Context, s settings.Gateway, env ...string) (*fleet.Process, error) {
	file := filepath.Join(g.t.TempDir(), "gateway.yaml")
	text := fmt.Sprintf("process: %s\nzone: %s\nlisten: %s\nadmin_listen: %s\nready_path: %s\npeer_listen: %s\nstore: %s\nmemory_mb: %v\nretry:\n  ratio: %v\n  window: %s\ngrace: %s\n",
		s.Process, s.Zone, s.Listen, s.AdminListen, s.ReadyPath, s.PeerListen, s.StoreAddr, s.MemoryLimitMB, s.RetryBudget.Ratio, s.RetryBudget.Window, s.ShutdownTimeout)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	args := append(env, g.program, "gateway", "serve", "--settings", file)
	process := g.programs.NewProcess(s.Process, func() string { return s.Listen }, "/usr/bin/env", args...)
	g.mu.Lock()
	g.process = process
	g.mu.Unlock()
	return process, process.Restart(ctx)
}

// run runs the program until ctx ends; it is meant for gateway.Options.Run.
func (g *shippedGateway) run(ctx context.Context, s settings.Gateway) error {
	process, err := g.start(ctx, s)
	if err != nil {
		return err
	}
	<-ctx.Done()
	return process.Kill()
}

// peakMemoryMB returns the largest resident memory of the program so far, in MiB.
func (g *shippedGateway) peakMemoryMB() (float64, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return gateway.PeakMemoryMB(g.process.PID())
}
