// Package cli implements the applepier command line. It runs an entry and
// provides the operator commands that call the administration API. Start reading
// at Run.
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

// Run executes the command line in args, where args[0] is the program name, and
// returns the exit code. extraCommands are added to the commands of this
// package.
func Run(ctx context.Context, args []string, out, errOut io.Writer, serve Serve, extraCommands ...*cli.Command) program.ExitCode {
	return program.Program[settings.Entry]{
		Name:         "applepier",
		Usage:        "a router for language-model traffic with latency targets and tiers",
		ExampleFile:  "examples/entry.yaml",
		Load:         settings.LoadEntry,
		LoggerConfig: loggerConfig,
		Serve:        serve,
		Commands:     append([]*cli.Command{newClassCommand(), newStatusCommand(), newTimelineCommand()}, extraCommands...),
	}.Run(ctx, args, out, errOut)
}

func loggerConfig(entry settings.Entry) program.LoggerConfig {
	return program.LoggerConfig{Process: entry.Process, LogLevel: entry.Log.Level}
}
