// Package agentcli implements the command line of applepier-agent, the process
// that runs next to a backend server. Start reading at Run.
package agentcli

import (
	"context"
	"io"

	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/program"
	"github.com/applepier/applepier/internal/settings"
)

// Serve runs an agent until ctx is done and then shuts down gracefully.
type Serve func(ctx context.Context, settings settings.Agent, log *zap.Logger) error

// Run executes the command line in args, where args[0] is the program name, and
// returns the exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer, serve Serve) program.ExitCode {
	return program.Program[settings.Agent]{
		Name:         "applepier-agent",
		Usage:        "the applepier process that runs next to a backend server",
		ExampleFile:  "examples/agent.yaml",
		Load:         settings.LoadAgent,
		LoggerConfig: loggerConfig,
		Serve:        serve,
	}.Run(ctx, args, out, errOut)
}

func loggerConfig(agent settings.Agent) program.LoggerConfig {
	return program.LoggerConfig{Process: agent.Process, LogLevel: agent.Log.Level}
}
