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

// errSeedsFailed reports that at least one seed failed a check or could not be run.
var errSeedsFailed = errors.New("some seeds failed")

func newCommand() *cli.Command {
	required := func(name string) cli.Flag { return &cli.StringFlag{Name: name, Required: true} }
	return &cli.Command{
		Name:  "soak",
		Usage: "inject faults into gateways that run as separate processes",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of seeds to run"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first seed"},
			&cli.DurationFlag{Name: "for", Value: 30 * time.Second, Usage: "duration of the faults of each seed"},
			&cli.IntFlag{Name: "gateways", Value: 3, Usage: "number of gateways"},
			&cli.StringFlag{Name: "gateway", Usage: "path of the gateway program; built from the workspace if empty"},
			&cli.StringFlag{Name: "earlier", Usage: "path of the gateway program of an earlier release, which every other gateway runs"},
			&cli.IntFlag{Name: "parallel", Value: 1, Usage: "number of seeds to run concurrently"},
			&cli.StringFlag{Name: "evidence", Usage: "folder for the evidence of failed seeds; the system's temporary folder if empty"},
			&cli.BoolFlag{Name: "segments", Usage: "send requests with a prompt segment that crashes servers"},
			&cli.BoolFlag{Name: "failing", Usage: "have all servers fail for seconds at a time while gateways are killed"},
			&cli.BoolFlag{Name: "endless", Usage: "have one server at a time send responses without an end"},
			&cli.BoolFlag{Name: "keep", Usage: "keep the evidence of passing seeds as well"},
		},
		Action: run,
		Commands: []*cli.Command{
			{
				Name: "server", Usage: "run a simulated backend server", Hidden: true,
				Flags: []cli.Flag{required("listen"), required("control"), required("instance"), required("software"), required("record")},
				Action: func(ctx context.Context, cmd *cli.Command) error {
					return soak.ServeServer(ctx, cmd.String("listen"), cmd.String("control"), cmd.String("instance"), cmd.String("software"), cmd.String("record"))
				},
			},
			{
				Name: "store", Usage: "run the simulated store", Hidden: true,
				Flags: []cli.Flag{required("listen"), required("duties"), required("control")},
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
	gateway := cmd.String("gateway")
	if gateway == "" {
		binaries, err := fleet.Build(ctx)
		if err != nil {
			return err
		}
		defer binaries.Remove()
		gateway = binaries.Entry
	}
	var mu sync.Mutex
	failed := 0
	workers := pool.New().WithMaxGoroutines(max(1, cmd.Int("parallel")))
	for n := range cmd.Int("seeds") {
		workers.Go(func() {
			result, err := soak.Run(ctx, soak.Config{
				Seed: cmd.Uint64("seed") + uint64(n), For: cmd.Duration("for"), Gateways: cmd.Int("gateways"),
				Gateway: gateway, Earlier: cmd.String("earlier"), Soak: self, Evidence: cmd.String("evidence"), Keep: cmd.Bool("keep"), Segments: cmd.Bool("segments"), Failing: cmd.Bool("failing"), Endless: cmd.Bool("endless"),
			})
			mu.Lock()
			defer mu.Unlock()
			fmt.Println(result)
			for _, v := range result.Violations {
				fmt.Println(" ", v)
			}
			if err != nil {
				fmt.Println("  the run of the seed failed:", err, result.Evidence)
			}
			if err != nil || len(result.Violations) > 0 {
				failed++
			}
		})
	}
	workers.Wait()
	fmt.Printf("%d seeds, %d failed\n", cmd.Int("seeds"), failed)
	if failed > 0 {
		return errSeedsFailed
	}
	return ctx.Err()
}
