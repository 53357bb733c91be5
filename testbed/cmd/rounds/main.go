// Command rounds sets played days before and after a change side by side, and
// draws a day over time.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/applepier/applepier/testbed/rounds"
)

func main() {
	if err := newCommand(os.Stdout).Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "rounds:", err)
		os.Exit(1)
	}
}

func newCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "rounds",
		Usage: "compare played days, draw one, or tell where it lost",
		Commands: []*cli.Command{{
			Name:  "compare",
			Usage: "medians of days before and after a change",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "journal", Value: "journal", Usage: "`DIR` of the runs"},
				&cli.StringFlag{Name: "before", Required: true, Usage: "beginning of a commit's id or of a run's reason"},
				&cli.StringFlag{Name: "after", Required: true, Usage: "the same for the other side"},
			},
			Action: func(_ context.Context, c *cli.Command) error {
				all, err := rounds.ReadJournal(c.String("journal"))
				if err != nil {
					return err
				}
				return rounds.Write(out, rounds.Compare(all, c.String("before"), c.String("after")))
			},
		}, {
			Name:      "draw",
			Usage:     "a picture of a day over time, from its report",
			ArgsUsage: "REPORT PICTURE.png",
			Action: func(_ context.Context, c *cli.Command) error {
				r, err := rounds.ReadReport(c.Args().Get(0))
				if err != nil {
					return err
				}
				return rounds.Draw(c.Args().Get(1), c.Args().Get(0), r)
			},
		}, {
			Name:      "losses",
			Usage:     "where a day's worth was lost, from its report: rows that add up to 1",
			ArgsUsage: "REPORT",
			Flags: []cli.Flag{
				&cli.StringMapFlag{Name: "weight", Usage: "what one request of a class counts for, as `CLASS=WEIGHT`; 1 for the others"},
			},
			Action: func(_ context.Context, c *cli.Command) error {
				r, err := rounds.ReadReport(c.Args().Get(0))
				if err != nil {
					return err
				}
				weights, err := weightsOf(c.StringMap("weight"))
				if err != nil {
					return err
				}
				rows, err := rounds.Losses(&r, weights)
				if err != nil {
					return err
				}
				return rounds.WriteLosses(out, &r, rows)
			},
		}},
	}
}

// weightsOf reads the weights of classes.
func weightsOf(texts map[string]string) (map[string]float64, error) {
	weights := map[string]float64{}
	for class, text := range texts {
		weight, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return nil, err
		}
		weights[class] = weight
	}
	return weights, nil
}
