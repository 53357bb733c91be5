package cli

import (
	"context"
	"net/http"

	"github.com/urfave/cli/v3"
)

func classRetire() *cli.Command {
	return &cli.Command{
		Name:      "retire",
		Usage:     "let a class take no new requests",
		ArgsUsage: "NAME",
		Description: "Requests that run are ended as usual; class set takes a class into use again.\n\n" +
			"Example:\n   applepier class retire summary --wait 14s",
		Flags:  adminFlags(changeFlags()...),
		Action: runClassRetire,
	}
}

func runClassRetire(ctx context.Context, command *cli.Command) error {
	name, err := className(command)
	if err != nil {
		return err
	}
	ctx, session, err := open(ctx, command)
	if err != nil {
		return err
	}
	defer session.cancel()
	answer, err := session.class(ctx, name)
	if err != nil {
		return err
	}
	return session.change(ctx, command, call{
		method:  http.MethodDelete,
		path:    classPath(name),
		version: &answer.Version,
	})
}
