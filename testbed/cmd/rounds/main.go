// Command rounds compares the results of simulated days before and after a change,
// draws a day over time and lists where a day lost score.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"

	"github.com/go-faster/errors"
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
		Usage: "compare simulated days, draw one, or list where it lost score",
		Commands: []*cli.Command{{
			Name:  "compare",
			Usage: "medians of days before and after a change",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "journal", Value: "journal", Usage: "`DIR` of the journal of runs"},
				&cli.StringFlag{Name: "before", Required: true, Usage: "prefix of a commit ID or of a run's reason"},
				&cli.StringFlag{Name: "after", Required: true, Usage: "prefix of the commit ID or reason to compare with"},
			},
			Action: func(_ context.Context, c *cli.Command) error {
				runs, err := rounds.ReadJournal(c.String("journal"))
				if err != nil {
					return err
				}
				return rounds.WriteComparisons(out, rounds.Compare(runs, c.String("before"), c.String("after")))
			},
		}, {
			Name:      "draw",
			Usage:     "draw a day over time from its report",
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
			Usage:     "list where a day lost score, from its report; the losses and the score add up to 1",
			ArgsUsage: "REPORT",
			Flags: []cli.Flag{
				&cli.StringMapFlag{Name: "weight", Usage: "weight of one request of a class, as `CLASS=WEIGHT`; 1 by default"},
			},
			Action: func(_ context.Context, c *cli.Command) error {
				r, err := rounds.ReadReport(c.Args().Get(0))
				if err != nil {
					return err
				}
				weights, err := parseWeights(c.StringMap("weight"))
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

// parseWeights parses the weights of classes, given by class name.
func parseWeights(texts map[string]string) (map[string]float64, error) {
	weights := map[string]float64{}
	for class, text := range texts {
		weight, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return nil, errors.Wrapf(err, "weight of class %q", class)
		}
		weights[class] = weight
	}
	return weights, nil
}
