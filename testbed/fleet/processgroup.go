package fleet

import (
	"context"
	"path/filepath"
)

// ProcessGroup starts processes outside a Fleet. They are killed when this
// process dies (on Linux) and log to one directory.
type ProcessGroup struct {
	dir      string
	launcher *launcher
}

// NewProcessGroup returns a ProcessGroup that writes logs to dir.
func NewProcessGroup(dir string) *ProcessGroup {
	return &ProcessGroup{dir: dir, launcher: newLauncher()}
}

// NewProcess returns a process, which Restart starts. It is ready when it accepts
// connections at the host:port that addr returns; this may change between starts.
func (p *ProcessGroup) NewProcess(name string, addr func() string, program string, args ...string) *Process {
	return &Process{
		Name: name, program: program, args: args, logPath: filepath.Join(p.dir, name+".log"), launcher: p.launcher,
		ready: func(ctx context.Context) error { return checkDial(addr())(ctx) },
	}
}

// Close ends the thread that processes were started from, which on Linux kills
// those still running.
func (p *ProcessGroup) Close() { p.launcher.close() }
