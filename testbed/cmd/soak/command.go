package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc/pool"
	"github.com/urfave/cli/v3"

	"github.com/applepier/applepier/testbed/fleet"
	"github.com/applepier/applepier/testbed/soak"
)

// errBroken: a seed failed.
var errBroken = errors.New("seeds failed")

func newCommand() *cli.Command {
	text := func(name string) cli.Flag { return &cli.StringFlag{Name: name, Required: true} }
	return &cli.Command{
		Name:  "soak",
		Usage: "play faults on gateways that are processes of their own",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "how many seeds are played"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "the first of them"},
			&cli.DurationFlag{Name: "for", Value: 30 * time.Second, Usage: "how long each has faults"},
			&cli.IntFlag{Name: "gateways", Value: 3, Usage: "how many gateways run"},
			&cli.IntFlag{Name: "parallel", Value: 1, Usage: "how many seeds are played side by side"},
			&cli.StringFlag{Name: "evidence", Usage: "folder for what failed seeds leave; the system's temporary one if empty"},
			&cli.BoolFlag{Name: "keep", Usage: "keep evidence of seeds that hold as well"},
		},
		Action: run,
		Commands: []*cli.Command{
			{
				Name: "server", Usage: "be a backend server's stand-in", Hidden: true,
				Flags: []cli.Flag{text("listen"), text("control"), text("instance"), text("record")},
				Action: func(ctx context.Context, cmd *cli.Command) error {
					return soak.ServeServer(ctx, cmd.String("listen"), cmd.String("control"), cmd.String("instance"), cmd.String("record"))
				},
			},
			{
				Name: "store", Usage: "be the store's stand-in", Hidden: true,
				Flags: []cli.Flag{text("listen"), text("duties"), text("control")},
				Action: func(ctx context.Context, cmd *cli.Command) error {
					return soak.ServeStore(ctx, cmd.String("listen"), cmd.String("duties"), cmd.String("control"))
				},
			},
		},
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	binaries, err := fleet.Build(ctx)
	if err != nil {
		return err
	}
	defer binaries.Remove()
	var mu sync.Mutex
	failed := 0
	workers := pool.New().WithMaxGoroutines(max(1, cmd.Int("parallel")))
	for n := range cmd.Int("seeds") {
		workers.Go(func() {
			result, err := soak.Run(ctx, soak.Config{
				Seed: cmd.Uint64("seed") + uint64(n), For: cmd.Duration("for"), Gateways: cmd.Int("gateways"),
				Gateway: binaries.Entry, Soak: self, Evidence: cmd.String("evidence"), Keep: cmd.Bool("keep"),
			})
			mu.Lock()
			defer mu.Unlock()
			fmt.Println(result)
			for _, v := range result.Violations {
				fmt.Println(" ", v)
			}
			if err != nil {
				fmt.Println("  the soak itself:", err, result.Evidence)
			}
			if err != nil || len(result.Violations) > 0 {
				failed++
			}
		})
	}
	workers.Wait()
	fmt.Printf("%d seeds, %d failed\n", cmd.Int("seeds"), failed)
	if failed > 0 {
		return errBroken
	}
	return ctx.Err()
}
