// Package program implements the parts that the command lines of both programs
// share: the commands serve, settings check and version, the exit codes, and
// errors with a hint for the operator. Start reading at Program.
package program

import (
	"context"
	"io"
	"slices"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/earlysignal"
)

// Program describes one of the two executables. S is the type of its settings.
type Program[S any] struct {
	// Name is the name of the executable.
	Name string
	// Usage is a one-line description for the help text.
	Usage string
	// ExampleFile is the path of an example settings file for the help text.
	ExampleFile string
	// Load reads and validates a settings file. A *settings.InvalidError lists
	// the invalid lines.
	Load func(path string) (S, error)
	// LoggerConfig returns the logger configuration from the settings.
	LoggerConfig func(settings S) LoggerConfig
	// SettingsEnv names the environment variable with the path of the settings
	// file, used if the command line has none. Empty means no such variable.
	SettingsEnv string
	// Serve runs the program until ctx is done. It returns after a graceful
	// shutdown, when all work in progress has ended.
	Serve func(ctx context.Context, settings S, log *zap.Logger) error
	// ServeWithReload replaces Serve, if set, for a program that applies changes
	// of its settings file while it runs. reload reads the file again.
	ServeWithReload func(ctx context.Context, settings S, reload func() (S, error), log *zap.Logger) error
	// Commands are additional commands of this program.
	Commands []*cli.Command
}

// LoggerConfig holds the settings of the logger.
type LoggerConfig struct {
	// Process is the process name in each log line; it is the name of the VM.
	Process string
	// LogLevel is debug, info, warn or error. Empty means info.
	LogLevel string
}

// Run executes the command line and returns the exit code. args[0] is the program
// name, as in os.Args. Output goes to out, errors go to errOut.
func (p Program[S]) Run(ctx context.Context, args []string, out, errOut io.Writer) ExitCode {
	if !slices.Contains(args, serveCommandName) {
		// Other commands end with their terminal.
		earlysignal.Release()
	}
	root := &cli.Command{
		Name:            p.Name,
		Usage:           p.Usage,
		Writer:          out,
		ErrWriter:       errOut,
		HideHelpCommand: true,
		HideVersion:     true,
		Commands:        append([]*cli.Command{p.serveCommand(), p.settingsCommand(), p.versionCommand()}, p.Commands...),
		ExitErrHandler:  func(context.Context, *cli.Command, error) {},
	}
	setUsageHandlers(root)
	return printError(errOut, p.Name, root.Run(ctx, args))
}

// Command returns the program as a subcommand, called name, of another program.
// It has the commands serve and settings check and those in Commands.
func (p Program[S]) Command(name string) *cli.Command {
	return &cli.Command{Name: name, Usage: p.Usage, Commands: append([]*cli.Command{p.serveCommand(), p.settingsCommand()}, p.Commands...)}
}

// setUsageHandlers sets the usage error handlers of a command and all its
// subcommands. A command without an action gets missingCommand.
func setUsageHandlers(command *cli.Command) {
	command.OnUsageError = onUsageError
	if command.Action == nil {
		command.Action = missingCommand
	}
	for _, sub := range command.Commands {
		setUsageHandlers(sub)
	}
}
