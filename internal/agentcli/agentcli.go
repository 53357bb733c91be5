// Package agentcli is the command line of applepier-agent, the process beside
// a backend server. Start reading at Run.
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

// Run runs the command line in args, which starts with the program's name, and
// returns the exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer, serve Serve) program.ExitCode {
	return program.Program[settings.Agent]{
		Name:     "applepier-agent",
		Usage:    "the process of applepier beside a backend server",
		Example:  "examples/agent.yaml",
		Load:     settings.LoadAgent,
		Identify: identify,
		Serve:    serve,
	}.Run(ctx, args, out, errOut)
}

func identify(agent settings.Agent) program.Identity {
	return program.Identity{Process: agent.Process, LogLevel: agent.Log.Level}
}
