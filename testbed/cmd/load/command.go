package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/applepier/applepier/testbed/baseline"
	"github.com/applepier/applepier/testbed/load"
	"github.com/applepier/applepier/testbed/scenarios"
)

// Targets in addition to the baselines.
const (
	// targetApplepier sends to the entries of a running system.
	targetApplepier = "applepier"
	// targetDirect sends to the engines directly, round robin. Compared with
	// it, the other targets show the overhead of a router.
	targetDirect = "direct"
)

const description = `Example:
   load --mix tampere --shape burst-4x --seed 1 \
     --entry http://127.0.0.1:8080 --entry http://127.0.0.1:8081 \
     --engine http://127.0.0.1:9000 --engine http://127.0.0.1:9001`

func newCommand(out, progress io.Writer) *cli.Command {
	return &cli.Command{
		Name:        "load",
		Usage:       "send the load of a scenario and report outcomes and latencies by class",
		Description: description,
		Commands:    []*cli.Command{measureCommand(out, progress)},
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "mix", Value: "tampere", Usage: strings.Join(scenarios.Mixes(), ", ")},
			&cli.StringFlag{Name: "shape", Value: "quiet", Usage: strings.Join(scenarios.Shapes(), ", ")},
			&cli.StringFlag{Name: "mix-file", Usage: "YAML file with a custom mix; overrides --mix"},
			&cli.StringFlag{Name: "shape-file", Usage: "YAML file with a custom shape; overrides --shape"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "random seed of the arrivals"},
			&cli.FloatFlag{Name: "scale", Value: 1, Usage: "factor for the durations of the phases"},
			&cli.StringFlag{Name: "target", Value: targetApplepier, Usage: strings.Join(targetNames(), ", ")},
			&cli.StringSliceFlag{Name: "entry", Usage: "base URL of an entry; repeat for several"},
			&cli.StringSliceFlag{Name: "engine", Usage: "base URL of a stand-in engine; repeat for several"},
			&cli.DurationFlag{Name: "patience", Value: load.DefaultRequestTimeout, Usage: "timeout of a request, including its response"},
			&cli.BoolFlag{Name: "retry-after-check", Usage: "retry each refused request once after its Retry-After"},
			&cli.StringFlag{Name: "json", Usage: "file to which the report is written as JSON"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error { return run(ctx, cmd, out, progress) },
	}
}

func run(ctx context.Context, cmd *cli.Command, out, progress io.Writer) error {
	scenario, err := readScenario(cmd)
	if err != nil {
		return err
	}
	options := load.Options{
		Scenario:       scenario.Scaled(cmd.Float("scale")),
		Seed:           cmd.Uint64("seed"),
		Target:         cmd.String("target"),
		Entries:        cmd.StringSlice("entry"),
		Engines:        cmd.StringSlice("engine"),
		RequestTimeout: cmd.Duration("patience"),
		RetryRefused:   cmd.Bool("retry-after-check"),
		Progress:       func(p load.Progress) { writeProgress(progress, p) },
	}
	switch options.Target {
	case targetApplepier:
	case targetDirect:
		options.Entries = options.Engines
	default:
		router, err := baseline.Start(options.Target, options.Engines, scenario.Mix.Fleet.Capacity)
		if err != nil {
			return err
		}
		defer router.Close()
		options.Entries = []string{router.URL}
	}
	return runLoad(ctx, options, cmd.String("json"), out)
}

// runLoad runs the load and writes the report as a table to out and, unless
// jsonPath is empty, as JSON to that file.
func runLoad(ctx context.Context, options load.Options, jsonPath string, out io.Writer) error {
	report, err := load.Run(ctx, options)
	if err != nil {
		return err
	}
	if err := writeJSON(jsonPath, report); err != nil {
		return err
	}
	return report.WriteTable(out)
}

func targetNames() []string {
	return append([]string{targetApplepier, targetDirect}, baseline.Names()...)
}

// readScenario reads the built-in mix and shape with the given names, or the
// files given instead of them.
func readScenario(cmd *cli.Command) (load.Scenario, error) {
	mix, err := scenarios.Mix(cmd.String("mix"))
	if path := cmd.String("mix-file"); path != "" {
		mix, err = os.ReadFile(path)
	}
	if err != nil {
		return load.Scenario{}, err
	}
	shape, err := scenarios.Shape(cmd.String("shape"))
	if path := cmd.String("shape-file"); path != "" {
		shape, err = os.ReadFile(path)
	}
	if err != nil {
		return load.Scenario{}, err
	}
	return load.ParseScenario(mix, shape)
}

func writeProgress(w io.Writer, p load.Progress) {
	_, _ = fmt.Fprintf(w, "\r%3.0f of %.0f s, %s: %d sent, %d ended   ",
		p.Elapsed.Seconds(), p.Total.Seconds(), p.Phase, p.Sent, p.Ended)
}

func writeJSON(path string, report *load.Report) error {
	if path == "" {
		return nil
	}
	text, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	if err := os.WriteFile(path, append(text, '\n'), 0o644); err != nil {
		return errors.Wrap(err, "write report")
	}
	return nil
}
