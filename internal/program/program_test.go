package program

import (
	"bytes"
	"context"
	"fmt"
	"testing"

	"github.com/go-faster/errors"
	"github.com/sebdah/goldie/v2"
	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/settings"
)

func testProgram(serve func(context.Context, settings.Agent, *zap.Logger) error) Program[settings.Agent] {
	return Program[settings.Agent]{
		Name:        "tool",
		Usage:       "a program under test",
		ExampleFile: "examples/agent.yaml",
		Load:        settings.LoadAgent,
		LoggerConfig: func(agent settings.Agent) LoggerConfig {
			return LoggerConfig{Process: agent.Process, LogLevel: "error"}
		},
		Serve: serve,
	}
}

// The output and exit code of each command line match its golden file.
func TestCommandOutput(t *testing.T) {
	tests := []struct {
		name string
		args []string
	}{
		{"help", []string{"--help"}},
		{"serve_help", []string{"serve", "--help"}},
		{"check_help", []string{"settings", "check", "--help"}},
		{"no_command", nil},
		{"unknown_command", []string{"frob"}},
		{"unknown_subcommand", []string{"settings", "frob"}},
		{"unknown_flag", []string{"serve", "--frob"}},
		{"serve_no_settings", []string{"serve"}},
		{"serve_argument", []string{"serve", "--settings", "../../examples/agent.yaml", "more"}},
		{"check_no_file", []string{"settings", "check"}},
		{"check_missing_file", []string{"settings", "check", "testdata/none.yaml"}},
		{"check_ok", []string{"settings", "check", "../../examples/agent.yaml"}},
		{"check_bad", []string{"settings", "check", "../../examples/entry.yaml"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			code := testProgram(nil).Run(t.Context(), append([]string{"tool"}, test.args...), &out, &errOut)
			got := fmt.Sprintf("%s%sexit code %d\n", out.String(), errOut.String(), code)
			goldie.New(t).Assert(t, test.name, []byte(got))
		})
	}
}

func TestServeReceivesSettings(t *testing.T) {
	var got settings.Agent
	program := testProgram(func(_ context.Context, agent settings.Agent, _ *zap.Logger) error {
		got = agent
		return nil
	})
	var out, errOut bytes.Buffer
	code := program.Run(t.Context(), []string{"tool", "serve", "--settings", "../../examples/agent.yaml"}, &out, &errOut)
	if code != ExitOK || got.Process != "engine-1" {
		t.Fatalf("got code %d and process %q; %s", code, got.Process, errOut.String())
	}
}

func TestServeErrorIsPrinted(t *testing.T) {
	program := testProgram(func(context.Context, settings.Agent, *zap.Logger) error {
		return errors.New("address in use")
	})
	var out, errOut bytes.Buffer
	code := program.Run(t.Context(), []string{"tool", "serve", "--settings", "../../examples/agent.yaml"}, &out, &errOut)
	if code != ExitFailure || errOut.String() != "tool: serve: address in use\n" {
		t.Fatalf("got code %d and %q", code, errOut.String())
	}
}
