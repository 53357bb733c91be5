package cli

import (
	"context"

	"github.com/urfave/cli/v3"
)

// classAction is the action of a command that takes a class name.
type classAction func(ctx context.Context, s *session, command *cli.Command, name string) error

// withClass returns a CLI action that parses the class name and the shared
// flags and then calls act.
func withClass(act classAction) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		name, err := className(command)
		if err != nil {
			return err
		}
		ctx, s, err := openSession(ctx, command)
		if err != nil {
			return err
		}
		defer s.cancel()
		return act(ctx, s, command, name)
	}
}
