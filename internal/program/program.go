// Package program is what the command lines of both programs share: the
// commands serve, settings check and version, exit codes, and errors that say
// what to do. Start reading at Program.
package program

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
)

// Program is one of the two programs; S is the type of its settings.
type Program[S any] struct {
	// Name is the executable's name.
	Name string
	// Usage says in a line what the program is.
	Usage string
	// Example is the name of its example settings file.
	Example string
	// Load reads and checks a settings file.
	Load func(path string) (S, error)
	// Identify picks from the settings what the logger needs.
	Identify func(settings S) Identity
	// SettingsEnv names an environment variable that holds the settings file's
	// path where the command line doesn't; empty for none.
	SettingsEnv string
	// Serve runs the program until ctx is done and then shuts down
	// gracefully: it ends what runs before it returns.
	Serve func(ctx context.Context, settings S, log *zap.Logger) error
	// ServeReloading stands in Serve's place for a program that takes up a
	// changed settings file while it runs; reload reads the file again.
	ServeReloading func(ctx context.Context, settings S, reload func() (S, error), log *zap.Logger) error
	// Commands are the program's own commands.
	Commands []*cli.Command
}

// Identity is what a logger needs of the settings.
type Identity struct {
	// Process is the VM's name.
	Process string
	// LogLevel is debug, info, warn or error; info when empty.
	LogLevel string
}

// Run runs the command line and returns the exit code. Args starts with the
// program's name, as os.Args does.
func (p Program[S]) Run(ctx context.Context, args []string, out, errOut io.Writer) ExitCode {
	root := &cli.Command{
		Name:            p.Name,
		Usage:           p.Usage,
		Writer:          out,
		ErrWriter:       errOut,
		HideHelpCommand: true,
		HideVersion:     true,
		Commands:        append([]*cli.Command{p.serve(), p.settings(), p.version()}, p.Commands...),
		ExitErrHandler:  func(context.Context, *cli.Command, error) {},
	}
	prepare(root)
	return report(errOut, p.Name, root.Run(ctx, args))
}

// Command returns the program as a command of another one, with serve and
// settings check below it.
func (p Program[S]) Command(name string) *cli.Command {
	return &cli.Command{Name: name, Usage: p.Usage, Commands: append([]*cli.Command{p.serve(), p.settings()}, p.Commands...)}
}

// prepare gives each command the same treatment of wrong usage.
func prepare(command *cli.Command) {
	command.OnUsageError = usageError
	if command.Action == nil {
		command.Action = missingCommand
	}
	for _, sub := range command.Commands {
		prepare(sub)
	}
}
