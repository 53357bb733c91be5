package main

import (
	"context"
	"fmt"
	"strings"
	"sync"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc/pool"
	"github.com/urfave/cli/v3"

	"github.com/applepier/applepier/testbed/fleet"
	"github.com/applepier/applepier/testbed/matrix"
)

// Names of the flags.
const (
	flagSeeds    = "seeds"
	flagParallel = "parallel"
	flagOnly     = "only"
	flagPairs    = "pairs"
	flagOutput   = "output"
	flagLogs     = "logs"
)

// errBroken: a cell did not hold.
var errBroken = errors.New("cells did not hold")

func newCommand() *cli.Command {
	return &cli.Command{
		Name:  "matrix",
		Usage: "run every fault at every step and write the table of cells",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: flagSeeds, Value: 1, Usage: "how often the matrix is run, each time with another seed"},
			&cli.IntFlag{Name: flagParallel, Value: 3, Usage: "how many cells run side by side"},
			&cli.IntFlag{Name: flagPairs, Value: 24, Usage: "how many pairs of faults are drawn for each seed"},
			&cli.StringFlag{Name: flagOnly, Usage: "run only the cells whose name contains this; the table is not written"},
			&cli.StringFlag{Name: flagOutput, Value: "docs/FAULT-MATRIX.md", Usage: "where the table goes"},
			&cli.BoolFlag{Name: flagLogs, Usage: "print the processes' logs of cells that did not hold"},
		},
		Action: run,
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	cells := chosen(cmd)
	binaries, err := fleet.Build(ctx)
	if err != nil {
		return err
	}
	defer binaries.Remove()
	results := runAll(ctx, cmd, binaries, cells)
	if cmd.String(flagOnly) == "" && ctx.Err() == nil {
		if err := matrix.WriteReport(cmd.String(flagOutput), results); err != nil {
			return err
		}
	}
	broken := 0
	for _, result := range results {
		if !result.Holds() {
			broken++
		}
	}
	fmt.Printf("%d cells, %d did not hold\n", len(results), broken)
	if broken > 0 {
		return errBroken
	}
	return ctx.Err()
}

func chosen(cmd *cli.Command) []matrix.Cell {
	var cells []matrix.Cell
	for seed := range cmd.Int(flagSeeds) {
		for _, cell := range matrix.AllCells(uint64(seed)+1, cmd.Int(flagPairs)) {
			if strings.Contains(cell.Name(), cmd.String(flagOnly)) {
				cells = append(cells, cell)
			}
		}
	}
	return cells
}

// runAll runs the cells side by side and returns their results in order.
func runAll(ctx context.Context, cmd *cli.Command, binaries *fleet.Binaries, cells []matrix.Cell) []matrix.Result {
	results := make([]matrix.Result, len(cells))
	var printing sync.Mutex
	workers := pool.New().WithMaxGoroutines(cmd.Int(flagParallel))
	for i, cell := range cells {
		workers.Go(func() {
			results[i] = matrix.Run(ctx, binaries, cell)
			printing.Lock()
			defer printing.Unlock()
			fmt.Printf("%d/%d %s\n", i+1, len(cells), results[i])
			if cmd.Bool(flagLogs) {
				fmt.Print(results[i].Logs)
			}
		})
	}
	workers.Wait()
	return results
}
