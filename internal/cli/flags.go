package cli

import (
	"context"
	"net/url"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/applepier/applepier/internal/program"
	"github.com/applepier/applepier/internal/settings"
)

// Flags shared by several commands.
const (
	flagAdmin   = "admin"
	flagKeyFile = "key-file"
	flagOutput  = "output"
	flagTimeout = "timeout"
)

// Environment variables used when the corresponding flag is not set.
const (
	envAdmin = "APPLEPIER_ADMIN"
	envKey   = "APPLEPIER_OPERATOR_KEY"
)

const (
	defaultAdmin   = "http://127.0.0.1:8081"
	defaultTimeout = 30 * time.Second
)

// OutputFormat is the format in which a command prints its result.
type OutputFormat string

// Output formats.
const (
	// OutputTable is a table for people. Its columns may change.
	OutputTable OutputFormat = "table"
	// OutputJSON is the administration API's response as JSON, for scripts.
	OutputJSON OutputFormat = "json"
)

// adminFlags returns the flags of a command that calls the administration API:
// extra followed by the shared flags.
func adminFlags(extra ...cli.Flag) []cli.Flag {
	return append(extra,
		&cli.StringFlag{
			Name: flagAdmin, Usage: "`URL` of any entry's administration API",
			Value: defaultAdmin, Sources: cli.EnvVars(envAdmin),
		},
		&cli.StringFlag{
			Name: flagKeyFile, Usage: "read the operator key from `FILE` instead of " + envKey,
		},
		&cli.StringFlag{
			Name: flagOutput, Usage: "output `FORMAT`: table or json", Value: string(OutputTable),
		},
		&cli.DurationFlag{
			Name: flagTimeout, Usage: "give up after `TIME`", Value: defaultTimeout,
		},
	)
}

// session holds the API client and the printer of one command.
type session struct {
	client  *client
	printer printer
	cancel  context.CancelFunc
}

// openSession parses the shared flags and returns a session and a context that
// expires after the request timeout. The caller must call the session's cancel
// function.
func openSession(ctx context.Context, command *cli.Command) (context.Context, *session, error) {
	format := OutputFormat(command.String(flagOutput))
	if format != OutputTable && format != OutputJSON {
		return nil, nil, program.UsageError(command, "--output must be table or json, not "+string(format))
	}
	base, err := url.Parse(command.String(flagAdmin))
	if err != nil || base.Host == "" || (base.Scheme != "http" && base.Scheme != "https") {
		return nil, nil, program.UsageError(command, "--admin must be a URL such as "+defaultAdmin)
	}
	key, err := readKey(command.String(flagKeyFile))
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout(command))
	return ctx, &session{
		client:  newClient(base, key),
		printer: printer{out: command.Root().Writer, errOut: command.Root().ErrWriter, format: format},
		cancel:  cancel,
	}, nil
}

// requestTimeout returns the value of --timeout, or --wait plus waitMargin if
// that is longer.
func requestTimeout(command *cli.Command) time.Duration {
	timeout := command.Duration(flagTimeout)
	if wait := command.Duration(flagWait); wait > 0 {
		timeout = max(timeout, wait+waitMargin)
	}
	return timeout
}

// readKey returns the operator key from file, or from the environment if file is
// empty.
func readKey(file string) (string, error) {
	secret := settings.SecretSource{File: file}
	if file == "" {
		secret = settings.SecretSource{Env: envKey}
	}
	key, err := secret.Read()
	if err != nil {
		return "", &program.Error{
			Code:    program.ExitUsage,
			Message: "no operator key: " + err.Error(),
			Hint:    "set " + envKey + " or give --" + flagKeyFile + " FILE",
			Cause:   err,
		}
	}
	return key, nil
}
