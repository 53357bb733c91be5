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
		Action: onClass(runClassRetire),
	}
}

func runClassRetire(ctx context.Context, s *session, command *cli.Command, name string) error {
	answer, err := s.class(ctx, name)
	if err != nil {
		return err
	}
	return s.change(ctx, command, call{
		method:  http.MethodDelete,
		path:    classPath(name),
		version: &answer.Version,
	})
}
