package cli

import (
	"context"
	"net/http"

	"github.com/urfave/cli/v3"
)

func newClassRetireCommand() *cli.Command {
	return &cli.Command{
		Name:      "retire",
		Usage:     "stop accepting new requests of a class",
		ArgsUsage: "NAME",
		Description: "Running requests complete as usual; class set reactivates a retired class.\n\n" +
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
