package fleet

import (
	"os/exec"
	"runtime"
	"sync"

	"github.com/go-faster/errors"
)

// ErrClosed reports that the fleet or group to which a process belongs is closed.
var ErrClosed = errors.New("fleet is closed")

// launcher starts child processes from one operating system thread that lives
// until close. Linux sends the parent death signal when the thread that
// started the child exits, and the Go runtime may end idle threads.
type launcher struct {
	jobs chan launchJob
	// closed is closed by close.
	closed chan struct{}
	close  func()
}

type launchJob struct {
	cmd    *exec.Cmd
	result chan error
}

func newLauncher() *launcher {
	closed := make(chan struct{})
	l := &launcher{jobs: make(chan launchJob), closed: closed, close: sync.OnceFunc(func() { close(closed) })}
	go l.run()
	return l
}

// run starts the queued commands. It never unlocks its thread, so the thread exits with it.
func (l *launcher) run() {
	runtime.LockOSThread()
	for {
		select {
		case job := <-l.jobs:
			job.result <- job.cmd.Start()
		case <-l.closed:
			return
		}
	}
}

// start starts cmd and, on Linux, has it killed when this process dies. After close it
// returns ErrClosed.
func (l *launcher) start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = killWithParent()
	job := launchJob{cmd: cmd, result: make(chan error, 1)}
	select {
	case l.jobs <- job:
		return <-job.result
	case <-l.closed:
		return ErrClosed
	}
}
