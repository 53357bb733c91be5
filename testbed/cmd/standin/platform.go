package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/applepier/applepier/testbed/plain"
	"github.com/applepier/applepier/testbed/platform"
)

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "stand in for the platform's table, object store and VM list",
		Flags: []cli.Flag{listenFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return serve(ctx, cmd.String("listen"), platform.New())
		},
	}
}

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "stand in for a plain service",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "name", Usage: "the service's name, which only tells processes apart"},
			&cli.StringFlag{Name: "record-file", Usage: "file that takes the record of calls as JSON lines"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return runService(ctx, cmd.String("listen"), cmd.String("record-file"))
		},
	}
}

func runService(ctx context.Context, listen, record string) error {
	if record == "" {
		return serve(ctx, listen, plain.New())
	}
	server, err := plain.Open(record)
	if err != nil {
		return err
	}
	defer func() { _ = server.Close() }()
	return serve(ctx, listen, server)
}
