package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"

	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/settings"
	"github.com/applepier/applepier/platform"
)

// childSettingsEnv names the environment variable that makes the test binary run a gateway;
// its value is the gateway's settings as JSON.
const childSettingsEnv = "APPLEPIER_TEST_GATEWAY"

// Main is the TestMain of packages that use Child: it runs a gateway instead of the tests if
// childSettingsEnv is set, and returns the exit status.
func Main(m *testing.M) int {
	encoded := os.Getenv(childSettingsEnv)
	if encoded == "" {
		return m.Run()
	}
	if err := runAsChild(encoded); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// runAsChild runs a gateway until its standard input is closed, which also happens when the
// test process dies.
func runAsChild(encoded string) error {
	var s settings.Gateway
	if err := json.Unmarshal([]byte(encoded), &s); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		defer stop()
		_, _ = io.Copy(io.Discard, os.Stdin)
	}()
	return platform.ServeGateway(ctx, s, func() (settings.Gateway, error) { return s, nil }, zap.NewNop())
}

// Child is a gateway in a child process, so that tests can suspend and kill it.
type Child struct {
	// mu guards the fields below; no other lock is acquired while it is held.
	mu sync.Mutex
	// process is nil until the child has started.
	process *os.Process
	killed  bool
}

// Run runs the child process until ctx ends; it is meant for Options.Run. It returns the error with which
// the process exited, or nil if Kill ended it.
func (c *Child) Run(ctx context.Context, s settings.Gateway) error {
	encoded, err := json.Marshal(s)
	if err != nil {
		return err
	}
	program, err := os.Executable()
	if err != nil {
		return err
	}
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), childSettingsEnv+"="+string(encoded))
	cmd.Stderr = os.Stderr
	stdin, err := cmd.StdinPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	c.mu.Lock()
	c.process = cmd.Process
	c.mu.Unlock()
	context.AfterFunc(ctx, func() { _ = stdin.Close() })
	err = cmd.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.killed {
		return nil
	}
	return err
}

// PeakMemoryMB returns the largest resident memory of the child process so far, in MiB.
func (c *Child) PeakMemoryMB() (float64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return PeakMemoryMB(c.process.Pid)
}

// PeakMemoryMB returns the largest resident memory of a process so far, in MiB.
func PeakMemoryMB(pid int) (float64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, peak, _ := strings.Cut(string(status), "VmHWM:")
	var kib float64
	_, err = fmt.Sscan(peak, &kib)
	return kib / 1024, err
}

// Signal sends a signal to the child process, which must have started.
func (c *Child) Signal(s os.Signal) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.process.Signal(s)
}

// Kill ends the child process, which must have started, without notice.
func (c *Child) Kill() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.killed = true
	return c.process.Kill()
}
