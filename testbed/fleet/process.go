package fleet

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/pprof"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// ErrNotRunning reports that a process isn't running.
var ErrNotRunning = errors.New("process is not running")

// goneInterval is how often WaitGone looks.
const goneInterval = 20 * time.Millisecond

// Process is one process of a fleet. Its methods are safe for concurrent use,
// but only one goroutine should start, stop and signal it.
type Process struct {
	// Name is the VM's name, or the stand-in's name.
	Name string
	// Addr is the host:port that the process listens on.
	Addr string

	program         string
	args            []string
	argsForInstance func(number int) []string // if set, replaces args for each instance
	startCount      int
	logPath         string
	launcher        *launcher
	ready           readinessCheck

	mu   sync.Mutex
	last *instance
}

// instance is one run of a process, from start to exit.
type instance struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error // set before done is closed
}

// start starts the process and waits until it is ready. It fails if the process is running.
func (p *Process) start(ctx context.Context) error {
	if err := p.launch(); err != nil {
		return err
	}
	return p.WaitReady(ctx)
}

func (p *Process) launch() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last != nil && !p.last.exited() {
		return errors.Errorf("process %s is already running", p.Name)
	}
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrapf(err, "open log of %s", p.Name)
	}
	defer log.Close()
	if p.argsForInstance != nil {
		p.args = p.argsForInstance(p.startCount)
	}
	p.startCount++
	cmd := exec.Command(p.program, p.args...)
	cmd.Stdout = log
	cmd.Stderr = log
	if err := p.launcher.start(cmd); err != nil {
		return errors.Wrapf(err, "start %s", p.Name)
	}
	p.last = &instance{cmd: cmd, done: make(chan struct{})}
	go p.last.wait()
	return nil
}

func (i *instance) wait() {
	i.err = i.cmd.Wait()
	close(i.done)
}

func (i *instance) exited() bool {
	select {
	case <-i.done:
		return true
	default:
		return false
	}
}

// WaitReady waits until the process is ready. It returns an error if the
// process exits first or ctx is done.
func (p *Process) WaitReady(ctx context.Context) error {
	i, err := p.runningInstance()
	if err != nil {
		return err
	}
	if err := p.ready.wait(ctx, p.Name, i.done); err != nil {
		return errors.Wrapf(err, "PID %d, exited: %v (%s)", i.cmd.Process.Pid, i.exited(), p.ExitReason())
	}
	return nil
}

func (p *Process) runningInstance() (*instance, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last == nil || p.last.exited() {
		return nil, errors.Wrap(ErrNotRunning, p.Name)
	}
	return p.last, nil
}

func (p *Process) signal(sig syscall.Signal) error {
	i, err := p.runningInstance()
	if err != nil {
		return err
	}
	if err := i.cmd.Process.Signal(sig); err != nil {
		if errors.Is(err, os.ErrProcessDone) {
			p.dumpState(i.cmd.Process.Pid)
		}
		return errors.Wrapf(err, "signal %s to %s, PID %d", sig, p.Name, i.cmd.Process.Pid)
	}
	return nil
}

// dumpState appends to a file beside the process's log what is known of a process whose end is overdue or
// wasn't seen: its state, this program's threads, the processes that its descriptors stand for, and its
// stacks, which show where the goroutine is that waits for the process.
func (p *Process) dumpState(pid int) {
	file, err := os.OpenFile(p.logPath+".stacks", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return
	}
	defer func() { _ = file.Close() }()
	// All of it only helps to find the cause, so that errors aren't reported.
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	_, _ = fmt.Fprintf(file, "%s PID %d: %v\n%s\n", time.Now().Format(time.RFC3339Nano), pid, err, status)
	threads, _ := filepath.Glob("/proc/self/task/*")
	for _, path := range threads {
		stat, _ := os.ReadFile(path + "/stat")
		call, _ := os.ReadFile(path + "/syscall")
		// Only root may read the stack within the kernel.
		stack, _ := os.ReadFile(path + "/stack")
		_, _ = fmt.Fprintf(file, "thread %ssystem call %s%s", stat, call, stack)
	}
	descriptors, _ := filepath.Glob("/proc/self/fdinfo/*")
	for _, path := range descriptors {
		info, _ := os.ReadFile(path)
		for line := range strings.Lines(string(info)) {
			if strings.HasPrefix(line, "Pid:") {
				_, _ = fmt.Fprintf(file, "%s %s", path, line)
			}
		}
	}
	_ = pprof.Lookup("goroutine").WriteTo(file, 2)
}

// PID returns the process ID, or 0 if the process isn't running.
func (p *Process) PID() int {
	i, err := p.runningInstance()
	if err != nil {
		return 0
	}
	return i.cmd.Process.Pid
}

// WaitGone waits until the kernel says that a process has ended, whether or not WaitExit has seen its end, and
// returns when that was; the zero time if ctx is done first.
func WaitGone(ctx context.Context, pid int) time.Time {
	for {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		// The state follows the command in parentheses; Z and X are processes that have ended.
		_, state, _ := strings.Cut(string(stat), ") ")
		if err != nil || strings.HasPrefix(state, "Z") || strings.HasPrefix(state, "X") {
			return time.Now()
		}
		select {
		case <-time.After(goneInterval):
		case <-ctx.Done():
			return time.Time{}
		}
	}
}

// Running reports whether the process is running; a paused process is.
func (p *Process) Running() bool {
	_, err := p.runningInstance()
	return err == nil
}

// ExitReason returns how the last run exited; empty while it runs or if it was never started.
func (p *Process) ExitReason() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.last == nil || !p.last.exited():
		return ""
	case p.last.err != nil:
		return p.last.err.Error()
	}
	return "exit status 0"
}

// Kill sends SIGKILL and waits for the process to exit.
func (p *Process) Kill() error {
	i, err := p.runningInstance()
	if err != nil {
		return err
	}
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-i.done
	return nil
}

// Pause pauses the process with SIGSTOP.
func (p *Process) Pause() error { return p.signal(syscall.SIGSTOP) }

// Resume resumes a paused process with SIGCONT.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

// SendTerminate sends SIGTERM without waiting for the process to exit.
func (p *Process) SendTerminate() error { return p.signal(syscall.SIGTERM) }

// Terminate sends SIGTERM and waits like WaitExit.
func (p *Process) Terminate(ctx context.Context) error {
	if err := p.SendTerminate(); err != nil {
		return err
	}
	return p.WaitExit(ctx)
}

// WaitExit waits for the process to exit. It returns an error if the exit code
// isn't 0 or ctx is done first.
func (p *Process) WaitExit(ctx context.Context) error {
	p.mu.Lock()
	i := p.last
	p.mu.Unlock()
	if i == nil {
		return errors.Wrap(ErrNotRunning, p.Name)
	}
	select {
	case <-i.done:
	case <-ctx.Done():
		p.dumpState(i.cmd.Process.Pid)
		return errors.Wrapf(ctx.Err(), "%s has not exited", p.Name)
	}
	if i.err != nil {
		return errors.Wrapf(i.err, "exit of %s", p.Name)
	}
	return nil
}

// Restart kills the process if it is running, starts it with the same settings
// and waits until it is ready.
func (p *Process) Restart(ctx context.Context) error {
	if err := p.Kill(); err != nil && !errors.Is(err, ErrNotRunning) {
		return err
	}
	return p.start(ctx)
}

// kill kills the process if it is running and waits up to timeout for its exit.
func (p *Process) kill(timeout time.Duration) {
	i, err := p.runningInstance()
	if err != nil {
		return
	}
	// SIGKILL also ends a paused process. An error means that it has already exited.
	_ = i.cmd.Process.Kill()
	select {
	case <-i.done:
	case <-time.After(timeout):
	}
}
