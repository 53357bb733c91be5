package agentcli

import (
	"bytes"
	"context"
	"fmt"
	"testing"

	"github.com/sebdah/goldie/v2"
	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/program"
	"github.com/applepier/applepier/internal/settings"
)

// The output and exit code of each command line match its golden file.
func TestOutputs(t *testing.T) {
	tests := []struct {
		golden string
		args   []string
	}{
		{"help", []string{"--help"}},
		{"check_example", []string{"settings", "check", "../../examples/agent.yaml"}},
		{"check_entry", []string{"settings", "check", "../../examples/entry.yaml"}},
		{"no_class_command", []string{"class", "list"}},
	}
	for _, test := range tests {
		t.Run(test.golden, func(t *testing.T) {
			var out, errOut bytes.Buffer
			code := Run(t.Context(), append([]string{"applepier-agent"}, test.args...), &out, &errOut, nil)
			got := fmt.Sprintf("%s%s--- exit code %d\n", out.String(), errOut.String(), code)
			goldie.New(t).Assert(t, test.golden, []byte(got))
		})
	}
}

func TestServeReceivesSettings(t *testing.T) {
	var got settings.Agent
	serve := func(_ context.Context, s settings.Agent, _ *zap.Logger) error {
		got = s
		return nil
	}
	var out, errOut bytes.Buffer
	code := Run(t.Context(), []string{"applepier-agent", "serve", "--settings", "../../examples/agent.yaml"}, &out, &errOut, serve)
	if code != program.ExitOK || got.Backend.Kind != settings.BackendEngine {
		t.Fatalf("got code %d and %+v; %s", code, got, errOut.String())
	}
}
