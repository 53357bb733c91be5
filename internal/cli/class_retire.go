package cli

import (
	"context"
	"net/http"

	"github.com/urfave/cli/v3"
)

func newClassRetireCommand() *cli.Command {
	return &cli.Command{
		Name:      "retire",
		Usage:     "let a class take no new requests",
		ArgsUsage: "NAME",
		Description: "Requests that run are ended as usual; class set takes a class into use again.\n\n" +
			"Example:\n   applepier class retire summary --wait 14s",
		Flags:  adminFlags(changeFlags()...),
		Action: withClass(runClassRetire),
	}
}

func runClassRetire(ctx context.Context, s *session, command *cli.Command, name string) error {
	response, err := s.getClass(ctx, name)
	if err != nil {
		return err
	}
	return s.applyChange(ctx, command, apiRequest{
		method:  http.MethodDelete,
		path:    classPath(name),
		version: &response.Version,
	})
}
