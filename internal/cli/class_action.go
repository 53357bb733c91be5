package cli

import (
	"context"

	"github.com/urfave/cli/v3"
)

// classAction is what a command does with the class that it names.
type classAction func(ctx context.Context, s *session, command *cli.Command, name string) error

// onClass reads the name and the shared flags, then acts.
func onClass(act classAction) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		name, err := className(command)
		if err != nil {
			return err
		}
		ctx, s, err := open(ctx, command)
		if err != nil {
			return err
		}
		defer s.cancel()
		return act(ctx, s, command, name)
	}
}
