package fleet

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc/pool"
)

// Shutdown sends SIGTERM to all entries, then all agents, then all servers, then
// the platform, and waits for each group to exit. The error names the processes
// that didn't exit with code 0 before ctx was done; Close kills them.
func (f *Fleet) Shutdown(ctx context.Context) error {
	var entries, agents, servers []*Process
	for _, entry := range f.Entries {
		entries = append(entries, entry.Process)
	}
	for _, backend := range f.Backends {
		agents = append(agents, backend.Agent)
		servers = append(servers, backend.Server.Process)
	}
	return errors.Join(
		terminateAll(ctx, entries),
		terminateAll(ctx, agents),
		terminateAll(ctx, servers),
		terminateAll(ctx, []*Process{f.Platform.Process}),
	)
}

// terminateAll terminates processes concurrently.
func terminateAll(ctx context.Context, processes []*Process) error {
	group := pool.New().WithErrors()
	for _, p := range processes {
		group.Go(func() error { return p.Terminate(ctx) })
	}
	return group.Wait()
}
