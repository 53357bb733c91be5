package cli

import (
	"context"
	"net/url"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/applepier/applepier/internal/program"
	"github.com/applepier/applepier/internal/settings"
)

// Names of the flags that several commands share.
const (
	flagAdmin   = "admin"
	flagKeyFile = "key-file"
	flagOutput  = "output"
	flagTimeout = "timeout"
)

// Environment variables that stand in for flags.
const (
	envAdmin = "APPLEPIER_ADMIN"
	envKey   = "APPLEPIER_OPERATOR_KEY"
)

const (
	defaultAdmin   = "http://127.0.0.1:8081"
	defaultTimeout = 30 * time.Second
)

// Output is the form in which a command prints its result.
type Output string

// Forms of output.
const (
	// OutputTable is for people; its columns may change.
	OutputTable Output = "table"
	// OutputJSON is the administration API's answer, for scripts.
	OutputJSON Output = "json"
)

// adminFlags are the flags of each command that calls the administration API.
func adminFlags(own ...cli.Flag) []cli.Flag {
	return append(own,
		&cli.StringFlag{
			Name: flagAdmin, Usage: "`URL` of any entry's administration API",
			Value: defaultAdmin, Sources: cli.EnvVars(envAdmin),
		},
		&cli.StringFlag{
			Name: flagKeyFile, Usage: "read the operator's key from `FILE` instead of " + envKey,
		},
		&cli.StringFlag{
			Name: flagOutput, Usage: "print `FORM`: table or json", Value: string(OutputTable),
		},
		&cli.DurationFlag{
			Name: flagTimeout, Usage: "give up after `TIME`", Value: defaultTimeout,
		},
	)
}

// session is what a command needs to call the administration API and print.
type session struct {
	client  *client
	printer printer
	cancel  context.CancelFunc
}

// open reads the shared flags. The returned context ends at the timeout.
func open(ctx context.Context, command *cli.Command) (context.Context, *session, error) {
	output := Output(command.String(flagOutput))
	if output != OutputTable && output != OutputJSON {
		return nil, nil, program.Usage(command, "--output must be table or json, not "+string(output))
	}
	base, err := url.Parse(command.String(flagAdmin))
	if err != nil || base.Host == "" || (base.Scheme != "http" && base.Scheme != "https") {
		return nil, nil, program.Usage(command, "--admin must be a URL such as "+defaultAdmin)
	}
	key, err := readKey(command.String(flagKeyFile))
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout(command))
	return ctx, &session{
		client:  newClient(base, key),
		printer: printer{out: command.Root().Writer, errOut: command.Root().ErrWriter, output: output},
		cancel:  cancel,
	}, nil
}

// timeout leaves room for the time that the command asks the entry to wait.
func timeout(command *cli.Command) time.Duration {
	limit := command.Duration(flagTimeout)
	if wait := command.Duration(flagWait); wait > 0 {
		limit = max(limit, wait+waitMargin)
	}
	return limit
}

func readKey(file string) (string, error) {
	source := settings.Secret{File: file}
	if file == "" {
		source = settings.Secret{Env: envKey}
	}
	key, err := source.Read()
	if err != nil {
		return "", &program.Error{
			Code:    program.ExitUsage,
			Problem: "no operator key: " + err.Error(),
			Advice:  "set " + envKey + " or give --" + flagKeyFile + " FILE",
			Cause:   err,
		}
	}
	return key, nil
}
