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

// errCellsFailed reports that at least one cell was not completed or broke a guarantee.
var errCellsFailed = errors.New("some cells failed")

// newCommand returns the command with its flags.
func newCommand() *cli.Command {
	return &cli.Command{
		Name:  "matrix",
		Usage: "inject every fault at every step and write the table of cells",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: flagSeeds, Value: 1, Usage: "number of runs of the matrix, each with another seed"},
			&cli.IntFlag{Name: flagParallel, Value: 3, Usage: "number of cells that run in parallel"},
			&cli.IntFlag{Name: flagPairs, Value: 24, Usage: "number of fault pairs that are drawn for each seed"},
			&cli.StringFlag{Name: flagOnly, Usage: "run only the cells whose name contains this text; the table is not written"},
			&cli.StringFlag{Name: flagOutput, Value: "docs/FAULT-MATRIX.md", Usage: "file that the table is written to"},
			&cli.BoolFlag{Name: flagLogs, Usage: "print the processes' logs of failed cells"},
		},
		Action: run,
	}
}

// run runs the selected cells and writes the report unless only some were selected. It
// returns errCellsFailed if a cell failed.
func run(ctx context.Context, cmd *cli.Command) error {
	cells := selectCells(cmd)
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
	failed := 0
	for _, result := range results {
		if !result.Passed() {
			failed++
		}
	}
	fmt.Printf("%d cells, %d failed\n", len(results), failed)
	if failed > 0 {
		return errCellsFailed
	}
	return ctx.Err()
}

// selectCells returns the cells of all seeds whose names contain the text of flagOnly.
func selectCells(cmd *cli.Command) []matrix.Cell {
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

// runAll runs the cells in parallel and returns their results in order.
func runAll(ctx context.Context, cmd *cli.Command, binaries *fleet.Binaries, cells []matrix.Cell) []matrix.Result {
	results := make([]matrix.Result, len(cells))
	var outputMu sync.Mutex
	workers := pool.New().WithMaxGoroutines(cmd.Int(flagParallel))
	for i, cell := range cells {
		workers.Go(func() {
			results[i] = matrix.Run(ctx, binaries, cell)
			outputMu.Lock()
			defer outputMu.Unlock()
			fmt.Printf("%d/%d %s\n", i+1, len(cells), results[i])
			if cmd.Bool(flagLogs) {
				fmt.Print(results[i].Logs)
			}
		})
	}
	workers.Wait()
	return results
}
