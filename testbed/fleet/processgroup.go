package fleet

import (
	"context"
	"path/filepath"
)

// Programs starts processes that end with this one and write their output to a
// folder. It is for tests whose processes aren't those of a Fleet.
type Programs struct {
	dir      string
	launcher *launcher
}

// NewPrograms returns Programs whose logs go to dir.
func NewPrograms(dir string) *Programs { return &Programs{dir: dir, launcher: newLauncher()} }

// New returns a process that Restart starts. It is ready when it takes
// connections at the host:port that addr gives, which may change between starts.
func (p *Programs) New(name string, addr func() string, program string, args ...string) *Process {
	return &Process{
		Name: name, program: program, args: args, logPath: filepath.Join(p.dir, name+".log"), launcher: p.launcher,
		ready: func(ctx context.Context) error { return dialReady(addr())(ctx) },
	}
}

// Close lets go of the thread that processes are started from, which ends those
// that still run.
func (p *Programs) Close() { p.launcher.close() }
