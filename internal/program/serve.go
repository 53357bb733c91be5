package program

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/earlysignal"
	"github.com/applepier/applepier/internal/logging"
)

const (
	flagSettings     = "settings"
	serveCommandName = "serve"
)

func (p Program[S]) serveCommand() *cli.Command {
	return &cli.Command{
		Name:  serveCommandName,
		Usage: "run the process until SIGTERM or SIGINT",
		Description: "The first signal begins a graceful shutdown: new work is refused and running work is completed.\n" +
			"A later SIGINT terminates the process immediately.\n\n" +
			"Example:\n   " + p.Name + " serve --settings " + p.ExampleFile,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagSettings, Usage: "read the settings from `FILE`", Required: true, Sources: p.settingsSources()},
		},
		Action: p.runServe,
	}
}

func (p Program[S]) settingsSources() cli.ValueSourceChain {
	if p.SettingsEnv == "" {
		return cli.ValueSourceChain{}
	}
	return cli.EnvVars(p.SettingsEnv)
}

func (p Program[S]) runServe(ctx context.Context, command *cli.Command) error {
	if command.Args().Present() {
		return UsageError(command, "serve takes no arguments")
	}
	// An unhandled SIGHUP would terminate the process, so it is handled before the
	// settings are loaded. A SIGHUP that arrives before ServeWithReload handles
	// it is discarded; the change is found at the next periodic check.
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	defer signal.Stop(sighup)
	earlysignal.Release()
	path := command.String(flagSettings)
	settings, err := p.loadSettings(path)
	if err != nil {
		return err
	}
	loggerConfig := p.LoggerConfig(settings)
	log, err := logging.New(loggerConfig.LogLevel, loggerConfig.Process)
	if err != nil {
		return errors.Wrap(err, "create logger")
	}
	return serveUntilSignal(ctx, log, func(ctx context.Context) error {
		if p.ServeWithReload != nil {
			return p.ServeWithReload(ctx, settings, func() (S, error) { return p.Load(path) }, log)
		}
		return p.Serve(ctx, settings, log)
	})
}

// serveUntilSignal runs serve with a context that the first SIGTERM or SIGINT
// cancels. It logs the result and returns the error of serve.
func serveUntilSignal(ctx context.Context, log *zap.Logger, serve func(context.Context) error) error {
	// Flush buffered log lines before the process exits.
	defer func() { _ = log.Sync() }()
	ctx, release := withSignalCancel(ctx, log, exitImmediately)
	defer release()
	if err := serve(ctx); err != nil {
		log.Error(logging.EventFailed, logging.Reason(err.Error()))
		return errors.Wrap(err, "serve")
	}
	log.Info(logging.EventStopped)
	return nil
}
