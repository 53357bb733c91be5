package fleet

import (
	"os/exec"
	"runtime"
	"sync"
)

// launcher starts child processes from one operating system thread that lives
// until close. Linux sends the parent death signal when the thread that
// started the child exits, and the Go runtime may end idle threads.
type launcher struct {
	jobs  chan launchJob
	close func()
}

type launchJob struct {
	cmd    *exec.Cmd
	result chan error
}

func newLauncher() *launcher {
	jobs := make(chan launchJob)
	l := &launcher{jobs: jobs, close: sync.OnceFunc(func() { close(jobs) })}
	go l.run()
	return l
}

// run starts the queued commands. It never unlocks its thread, so the thread exits with it.
func (l *launcher) run() {
	runtime.LockOSThread()
	for job := range l.jobs {
		job.result <- job.cmd.Start()
	}
}

// start starts cmd and, on Linux, has it killed when this process dies.
func (l *launcher) start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = killWithParent()
	job := launchJob{cmd: cmd, result: make(chan error, 1)}
	l.jobs <- job
	return <-job.result
}
