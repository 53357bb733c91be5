package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/applepier/applepier/testbed/plain"
)

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "run a stand-in plain service",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "name", Usage: "service name, used only to identify the process"},
			&cli.StringFlag{Name: "record-file", Usage: "file to which calls are recorded as JSON lines"},
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
