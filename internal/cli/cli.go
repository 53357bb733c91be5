// Package cli is the command line of applepier: it runs an entry's process and
// is the operator's tool for the administration API. Start reading at Run.
package cli

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/program"
	"github.com/applepier/applepier/internal/settings"
)

// Serve runs an entry until ctx is done and then shuts down gracefully.
type Serve func(ctx context.Context, settings settings.Entry, log *zap.Logger) error

// Run runs the command line in args, which starts with the program's name, and
// returns the exit code. More are commands beside those of this package.
func Run(ctx context.Context, args []string, out, errOut io.Writer, serve Serve, more ...*cli.Command) program.ExitCode {
	return program.Program[settings.Entry]{
		Name:     "applepier",
		Usage:    "a router for language-model traffic with latency targets and tiers",
		Example:  "examples/entry.yaml",
		Load:     settings.LoadEntry,
		Identify: identify,
		Serve:    serve,
		Commands: append([]*cli.Command{classCommand(), statusCommand(), timelineCommand()}, more...),
	}.Run(ctx, args, out, errOut)
}

func identify(entry settings.Entry) program.Identity {
	return program.Identity{Process: entry.Process, LogLevel: entry.Log.Level}
}
