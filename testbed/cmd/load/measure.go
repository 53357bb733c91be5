package main

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/applepier/applepier/testbed/load"
	"github.com/applepier/applepier/testbed/measure"
)

// defaultMaxRetryAfter is the longest Retry-After after which refused requests
// are retried.
const defaultMaxRetryAfter = 20 * time.Second

func measureCommand(out, progress io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "measure",
		Usage: "start fleets, run scenarios against the system and the baselines, and write Markdown tables",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "mix", Value: []string{"tampere", "perth"}, Usage: "name of a mix; repeat for several"},
			&cli.StringSliceFlag{
				Name:  "shape",
				Value: []string{"quiet", "burst-4x", "burst-8x", "burst-2x", "straggler", "hot-customer", "outside-load"},
				Usage: "name of a shape; repeat for several",
			},
			&cli.StringSliceFlag{Name: "target", Value: measure.Targets(), Usage: "name of a target; repeat for several"},
			&cli.IntFlag{Name: "seeds", Value: 3, Usage: "number of seeds"},
			&cli.FloatFlag{Name: "scale", Value: 1, Usage: "factor for the durations of the phases"},
			&cli.IntFlag{Name: "parallel", Value: 1, Usage: "number of fleets that run concurrently"},
			&cli.DurationFlag{Name: "patience", Value: load.DefaultRequestTimeout, Usage: "timeout of a request, including its response"},
			&cli.DurationFlag{Name: "return-within", Value: defaultMaxRetryAfter, Usage: "longest Retry-After after which a refused request is retried"},
			&cli.StringFlag{Name: "json", Usage: "file to which all reports are written as JSON"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error { return runMeasure(ctx, cmd, out, progress) },
	}
}

// runMeasure runs the measurements. If they fail or are interrupted, it still
// writes the tables of the completed runs.
func runMeasure(ctx context.Context, cmd *cli.Command, out, progress io.Writer) error {
	options := measure.Options{
		Mixes:         cmd.StringSlice("mix"),
		Shapes:        cmd.StringSlice("shape"),
		Targets:       cmd.StringSlice("target"),
		Seeds:         cmd.Int("seeds"),
		Scale:         cmd.Float("scale"),
		Parallel:      cmd.Int("parallel"),
		CallerTimeout: cmd.Duration("patience"),
		MaxRetryAfter: cmd.Duration("return-within"),
		Progress:      progress,
	}
	results, err := measure.Run(ctx, options)
	measure.WriteTables(out, options, results)
	if path := cmd.String("json"); path != "" {
		err = errors.Join(err, writeResults(path, results))
	}
	return err
}

func writeResults(path string, results []measure.Result) error {
	text, err := json.Marshal(results)
	if err != nil {
		return errors.Wrap(err, "encode results")
	}
	if err := os.WriteFile(path, append(text, '\n'), 0o644); err != nil {
		return errors.Wrap(err, "write results")
	}
	return nil
}
