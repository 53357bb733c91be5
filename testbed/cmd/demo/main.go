// Command demo starts a small fleet of real processes on this machine, sends
// mixed load with a burst of one class, and prints the outcome for callers. Run
// it from the repository root.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/applepier/applepier/testbed/demo"
)

// defaultDuration is the default time during which requests are sent.
const defaultDuration = 30 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newCommand().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func newCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a small fleet under a burst of load and print the outcome for callers",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "random seed of the requests"},
			&cli.DurationFlag{Name: "duration", Value: defaultDuration, Usage: "how long requests are sent"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return demo.Run(ctx, demo.Options{
				Seed:     cmd.Uint64("seed"),
				Duration: cmd.Duration("duration"),
				Out:      os.Stdout,
				Progress: os.Stderr,
			})
		},
	}
}
