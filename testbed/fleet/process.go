package fleet

import (
	"context"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// ErrNotRunning is returned for signals to a process that has ended.
var ErrNotRunning = errors.New("process is not running")

// Process is one process of a fleet. Its methods may be called from several
// goroutines, but only one of them should decide over its life.
type Process struct {
	// Name is the VM's name, or what stands in for a part of the platform.
	Name string
	// Addr is the host:port it listens on.
	Addr string

	program  string
	args     []string
	argsFor  func(start int) []string // instead of args, when set
	starts   int
	logPath  string
	launcher *launcher
	ready    readiness

	mu      sync.Mutex
	running *instance
}

// instance is one start of a process.
type instance struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error // set before done is closed
}

// start starts a process that does not run and waits until it is ready.
func (p *Process) start(ctx context.Context) error {
	if err := p.launch(); err != nil {
		return err
	}
	return p.WaitReady(ctx)
}

func (p *Process) launch() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running != nil && !p.running.ended() {
		return errors.Errorf("process %s runs already", p.Name)
	}
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrapf(err, "log of %s", p.Name)
	}
	defer log.Close()
	if p.argsFor != nil {
		p.args = p.argsFor(p.starts)
	}
	p.starts++
	cmd := exec.Command(p.program, p.args...)
	cmd.Stdout = log
	cmd.Stderr = log
	if err := p.launcher.start(cmd); err != nil {
		return errors.Wrapf(err, "start %s", p.Name)
	}
	p.running = &instance{cmd: cmd, done: make(chan struct{})}
	go p.running.wait()
	return nil
}

func (i *instance) wait() {
	i.err = i.cmd.Wait()
	close(i.done)
}

func (i *instance) ended() bool {
	select {
	case <-i.done:
		return true
	default:
		return false
	}
}

// WaitReady waits until the process takes work; an error when it ends before
// or ctx is done.
func (p *Process) WaitReady(ctx context.Context) error {
	i, err := p.current()
	if err != nil {
		return err
	}
	return p.ready.wait(ctx, p.Name, i.done)
}

func (p *Process) current() (*instance, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running == nil || p.running.ended() {
		return nil, errors.Wrap(ErrNotRunning, p.Name)
	}
	return p.running, nil
}

func (p *Process) signal(sig syscall.Signal) error {
	i, err := p.current()
	if err != nil {
		return err
	}
	if err := i.cmd.Process.Signal(sig); err != nil {
		return errors.Wrapf(err, "signal %s to %s", sig, p.Name)
	}
	return nil
}

// PID is the process's id, 0 when it does not run.
func (p *Process) PID() int {
	i, err := p.current()
	if err != nil {
		return 0
	}
	return i.cmd.Process.Pid
}

// Running reports whether the process runs; a paused one does.
func (p *Process) Running() bool {
	_, err := p.current()
	return err == nil
}

// Ended says how the process's last start ended; empty while it runs, and where it never did.
func (p *Process) Ended() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.running == nil || !p.running.ended():
		return ""
	case p.running.err != nil:
		return p.running.err.Error()
	}
	return "exit status 0"
}

// Kill sends SIGKILL and waits for the end.
func (p *Process) Kill() error {
	i, err := p.current()
	if err != nil {
		return err
	}
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-i.done
	return nil
}

// Stop pauses the process by SIGSTOP.
func (p *Process) Stop() error { return p.signal(syscall.SIGSTOP) }

// Continue wakes a paused process by SIGCONT.
func (p *Process) Continue() error { return p.signal(syscall.SIGCONT) }

// BeginTerminate sends SIGTERM and does not wait.
func (p *Process) BeginTerminate() error { return p.signal(syscall.SIGTERM) }

// Terminate sends SIGTERM and waits for the end as AwaitEnd does.
func (p *Process) Terminate(ctx context.Context) error {
	if err := p.BeginTerminate(); err != nil {
		return err
	}
	return p.AwaitEnd(ctx)
}

// AwaitEnd waits until the process has ended by itself: an error when it ends
// with another code than 0 or not before ctx is done.
func (p *Process) AwaitEnd(ctx context.Context) error {
	p.mu.Lock()
	i := p.running
	p.mu.Unlock()
	if i == nil {
		return errors.Wrap(ErrNotRunning, p.Name)
	}
	select {
	case <-i.done:
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "%s has not ended", p.Name)
	}
	if i.err != nil {
		return errors.Wrapf(i.err, "end of %s", p.Name)
	}
	return nil
}

// Restart kills the process if it runs, starts it anew with the same
// settings and waits until it is ready.
func (p *Process) Restart(ctx context.Context) error {
	if err := p.Kill(); err != nil && !errors.Is(err, ErrNotRunning) {
		return err
	}
	return p.start(ctx)
}

// end makes sure that the process is gone.
func (p *Process) end(limit time.Duration) {
	i, err := p.current()
	if err != nil {
		return
	}
	// SIGKILL ends paused processes too. An error means it is gone already.
	_ = i.cmd.Process.Kill()
	select {
	case <-i.done:
	case <-time.After(limit):
	}
}
