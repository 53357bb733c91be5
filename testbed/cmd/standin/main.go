// Command standin runs one stand-in: an engine, the platform or a plain service.
// It prints only errors and shuts down gracefully on SIGTERM.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newCommand().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func newCommand() *cli.Command {
	return &cli.Command{
		Name:     "standin",
		Usage:    "run a stand-in for an engine, the platform or a plain service",
		Commands: []*cli.Command{engineCommand(), platformCommand(), serviceCommand()},
	}
}
