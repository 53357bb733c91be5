package cli

import (
	"bytes"
	"context"
	"reflect"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/program"
	"github.com/applepier/applepier/internal/settings"
)

const exampleGateway = "../../examples/gateway.yaml"

// runGateway executes a command line and returns its exit code, its output and
// the settings that the gateway was started with, or nil if it was not started.
func runGateway(t *testing.T, args ...string) (code program.ExitCode, out string, started *settings.Gateway) {
	t.Helper()
	serve := func(_ context.Context, s settings.Gateway, reload func() (settings.Gateway, error), _ *zap.Logger) error {
		started = &s
		reloaded, err := reload()
		if err != nil || !reflect.DeepEqual(reloaded, s) {
			t.Errorf("reloaded settings: %+v, %v", reloaded, err)
		}
		return nil
	}
	var text bytes.Buffer
	code = Run(t.Context(), append([]string{"applepier"}, args...), &text, &text, nil, GatewayCommand(serve, "TEST_GATEWAY_SETTINGS"))
	return code, text.String(), started
}

func TestGatewaySettingsFromFlagOrEnvironment(t *testing.T) {
	if code, out, started := runGateway(t, "gateway", "serve", "--settings", exampleGateway); code != program.ExitOK || started == nil || started.Process != "gateway-1" {
		t.Errorf("by flag: exit code %d, %+v, %s", code, started, out)
	}
	if code, _, started := runGateway(t, "gateway", "serve"); code == program.ExitOK || started != nil {
		t.Errorf("without settings: exit code %d", code)
	}
	t.Setenv("TEST_GATEWAY_SETTINGS", exampleGateway)
	if code, out, started := runGateway(t, "gateway", "serve"); code != program.ExitOK || started == nil {
		t.Errorf("by environment: exit code %d, %s", code, out)
	}
}

func TestGatewayHelpAndChecks(t *testing.T) {
	for name, args := range map[string][]string{
		"gateway_help":       {"gateway", "--help"},
		"gateway_serve_help": {"gateway", "serve", "--help"},
		"gateway_check_ok":   {"gateway", "settings", "check", exampleGateway},
		"gateway_check_bad":  {"gateway", "settings", "check", "../../examples/entry.yaml"},
	} {
		t.Run(name, func(t *testing.T) {
			code, out, _ := runGateway(t, args...)
			if want := strings.Contains(name, "bad"); (code == program.ExitUsage) != want {
				t.Errorf("exit code %d", code)
			}
			goldie.New(t).Assert(t, name, []byte(out))
		})
	}
}
