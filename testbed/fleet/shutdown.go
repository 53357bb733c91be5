package fleet

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc/pool"
)

// Shutdown sends SIGTERM to every process that runs, callers' side first, and
// waits until each has ended by itself. The error names those that did not,
// or not with exit code 0; Close ends them.
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

// terminateAll ends processes of one kind side by side.
func terminateAll(ctx context.Context, processes []*Process) error {
	group := pool.New().WithErrors()
	for _, p := range processes {
		group.Go(func() error { return p.Terminate(ctx) })
	}
	return group.Wait()
}
