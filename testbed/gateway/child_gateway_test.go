package gateway_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"testing"

	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/settings"
	"github.com/applepier/applepier/platform"
)

// gatewaySettingsEnv names the environment variable that makes the test binary run a gateway;
// its value is the gateway's settings as JSON.
const gatewaySettingsEnv = "APPLEPIER_TEST_GATEWAY"

// TestMain runs a gateway instead of the tests if gatewaySettingsEnv is set.
func TestMain(m *testing.M) {
	if encoded := os.Getenv(gatewaySettingsEnv); encoded != "" {
		if err := runChildGateway(encoded); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// runChildGateway runs a gateway until its standard input is closed, which also happens when
// the test process dies.
func runChildGateway(encoded string) error {
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

// childGateway runs a gateway in a child process, so that tests can suspend and resume it.
type childGateway struct {
	// started receives the child process when it has started.
	started chan *os.Process
}

// newChildGateway returns a child gateway that hasn't been started.
func newChildGateway() *childGateway { return &childGateway{started: make(chan *os.Process, 1)} }

// run runs the child process until ctx ends and returns the error with which it exited, if any.
func (g *childGateway) run(ctx context.Context, s settings.Gateway) error {
	encoded, err := json.Marshal(s)
	if err != nil {
		return err
	}
	program, err := os.Executable()
	if err != nil {
		return err
	}
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), gatewaySettingsEnv+"="+string(encoded))
	cmd.Stderr = os.Stderr
	stdin, err := cmd.StdinPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	g.started <- cmd.Process
	context.AfterFunc(ctx, func() { _ = stdin.Close() })
	return cmd.Wait()
}
