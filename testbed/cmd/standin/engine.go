package main

import (
	"context"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/applepier/applepier/testbed/engine"
)

// crashStatus is the exit status of an engine that simulates a crash.
const crashStatus = 3

func engineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "run a stand-in engine",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "model", Value: engine.DefaultModel, Usage: "name of the loaded model"},
			&cli.IntFlag{Name: "capacity", Value: engine.DefaultCapacity, Usage: "concurrent streams at full speed"},
			&cli.IntFlag{Name: "max-streams", Usage: "maximum concurrent streams (default: 4 times the capacity)"},
			&cli.FloatFlag{Name: "interval-ms", Value: milliseconds(engine.DefaultTokenInterval), Usage: "time between tokens at full speed, in ms"},
			&cli.FloatFlag{Name: "prefill-us-per-token", Value: 20, Usage: "prefill time per uncached prompt token, in µs"},
			&cli.IntFlag{Name: "cache-blocks", Value: engine.DefaultCacheBlocks, Usage: "size of the prompt cache, in blocks of 16 tokens"},
			&cli.FloatFlag{Name: "load-lag-ms", Value: milliseconds(engine.DefaultLoadReportInterval), Usage: "time between updates of the load report, in ms"},
			&cli.BoolFlag{Name: "ignore-fences", Usage: "accept orders with an outdated fencing token"},
			&cli.StringFlag{Name: "software", Usage: "software version that the engine reports"},
			&cli.StringFlag{Name: "record-file", Usage: "file to which runs are recorded as JSON lines"},
		},
		Action: runEngine,
	}
}

func runEngine(ctx context.Context, cmd *cli.Command) error {
	server, err := engine.New(engine.Config{
		Model:               cmd.String("model"),
		Capacity:            cmd.Int("capacity"),
		MaxStreams:          cmd.Int("max-streams"),
		TokenInterval:       time.Duration(cmd.Float("interval-ms") * float64(time.Millisecond)),
		PrefillPerToken:     time.Duration(cmd.Float("prefill-us-per-token") * float64(time.Microsecond)),
		CacheBlocks:         cmd.Int("cache-blocks"),
		LoadReportInterval:  time.Duration(cmd.Float("load-lag-ms") * float64(time.Millisecond)),
		IgnoreFencingTokens: cmd.Bool("ignore-fences"),
		SoftwareVersion:     cmd.String("software"),
		RecordFile:          cmd.String("record-file"),
		Exit:                func() { os.Exit(crashStatus) },
	})
	if err != nil {
		return err
	}
	defer server.Close()
	return serve(ctx, cmd.String("listen"), server)
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
