package fleet

import (
	"os/exec"
	"runtime"
	"sync"
)

// launcher starts child processes from one operating system thread that lives
// as long as the fleet. Linux ties "kill the child when its parent is gone"
// to the thread that started it, and Go ends idle threads.
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

// run never unlocks its thread, so that the thread ends with it.
func (l *launcher) run() {
	runtime.LockOSThread()
	for job := range l.jobs {
		job.result <- job.cmd.Start()
	}
}

// start starts cmd so that it does not outlive this process.
func (l *launcher) start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = endWithParent()
	job := launchJob{cmd: cmd, result: make(chan error, 1)}
	l.jobs <- job
	return <-job.result
}
