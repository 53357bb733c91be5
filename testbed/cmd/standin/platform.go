package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/applepier/applepier/testbed/platform"
)

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run a stand-in for the platform's table, object store and VM list",
		Flags: []cli.Flag{listenFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return serve(ctx, cmd.String("listen"), platform.New())
		},
	}
}
