package program

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/applepier/applepier/internal/settings"
)

func (p Program[S]) settingsCommand() *cli.Command {
	return &cli.Command{
		Name:  "settings",
		Usage: "work with settings files",
		Commands: []*cli.Command{{
			Name:      "check",
			Usage:     "check a settings file and list every problem in it",
			ArgsUsage: "FILE",
			Description: "Secrets are not read, so a file can be checked away from its VM.\n\n" +
				"Example:\n   " + p.Name + " settings check " + p.ExampleFile,
			Action: p.runCheck,
		}},
	}
}

func (p Program[S]) runCheck(_ context.Context, command *cli.Command) error {
	if command.Args().Len() != 1 {
		return UsageError(command, "give one settings file")
	}
	path := command.Args().First()
	if _, err := p.loadSettings(path); err != nil {
		return err
	}
	_, err := fmt.Fprintln(command.Root().Writer, path+": ok")
	return err
}

// loadSettings reads a settings file. Its errors are of type *Error with ExitUsage
// and a hint.
func (p Program[S]) loadSettings(path string) (S, error) {
	loaded, err := p.Load(path)
	if err == nil {
		return loaded, nil
	}
	var invalid *settings.InvalidError
	if errors.As(err, &invalid) {
		return loaded, &Error{
			Code:    ExitUsage,
			Message: "settings are not valid\n" + invalid.Error(),
			Hint:    "correct each line above; docs/SETTINGS.md explains the keys",
			Cause:   err,
		}
	}
	return loaded, &Error{
		Code:    ExitUsage,
		Message: err.Error(),
		Hint:    "give the path of a file that this user may read",
		Cause:   err,
	}
}
