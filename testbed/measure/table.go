package measure

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/applepier/applepier/testbed/baseline"
)

const percent = 100

// WriteTables writes Markdown tables of all rounds: medians over the seeds,
// with the lowest and the highest where they differ.
func WriteTables(w io.Writer, options Options, rounds []Round) {
	for _, mix := range options.Mixes {
		t := table{out: w, shapes: options.Shapes, rounds: of(rounds, func(r Round) bool { return r.Mix == mix })}
		if len(t.rounds) == 0 {
			continue
		}
		_, _ = fmt.Fprintf(w, "## %s\n\n", mix)
		t.writeScenarios()
		t.writeHints()
		t.writeAdded()
	}
}

// table writes the rounds of one mix.
type table struct {
	out    io.Writer
	shapes []string
	rounds []Round
}

func of(rounds []Round, keep func(Round) bool) []Round {
	return slices.DeleteFunc(slices.Clone(rounds), func(r Round) bool { return !keep(r) })
}

// at are the rounds of all seeds for a shape and a target.
func (t table) at(shape, target string) []Round {
	return of(t.rounds, func(r Round) bool { return r.Shape == shape && r.Target == target })
}

func (t table) row(cells ...string) {
	_, _ = fmt.Fprintf(t.out, "| %s |\n", strings.Join(cells, " | "))
}

func (t table) head(cells ...string) {
	t.row(cells...)
	t.row(slices.Repeat([]string{"---"}, len(cells))...)
}

func (t table) writeScenarios() {
	cells := []string{"shape", "target"}
	for _, class := range t.rounds[0].Report.Classes {
		cells = append(cells, class.Class)
	}
	cells = append(cells, "top tier missed", "goodput/s", "useful", "wasted", "longest wait, s", "ran_though_refused", "goodput ratio")
	t.head(cells...)
	for _, shape := range t.shapes {
		for _, target := range append([]string{targetApplepier}, baseline.Names()...) {
			if rounds := t.at(shape, target); len(rounds) > 0 {
				t.row(append([]string{shape, target}, t.figures(shape, rounds)...)...)
			}
		}
	}
	_, _ = fmt.Fprintln(t.out)
}

func (t table) figures(shape string, rounds []Round) []string {
	var cells []string
	for i := range rounds[0].Report.Classes {
		attained := sampleOf(rounds, func(r Round) float64 { return percent * r.Report.Classes[i].Attainment })
		cells = append(cells, attained.text("%.1f"))
	}
	return append(cells,
		topTierMissed(rounds),
		goodput(rounds).text("%.1f"),
		sampleOf(rounds, func(r Round) float64 { return percent * r.Useful }).text("%.0f%%"),
		sampleOf(rounds, func(r Round) float64 { return percent * r.Report.Total.WastedShare }).text("%.1f%%"),
		sampleOf(rounds, func(r Round) float64 { return r.Report.Total.FirstTokenMaxMS / 1000 }).text("%.1f"),
		fmt.Sprint(sum(rounds, func(r Round) int { return r.Report.Total.RanThoughRefused })),
		t.ratio(shape, rounds),
	)
}

// ratio is the system's goodput in relation to that of a baseline.
func (t table) ratio(shape string, rounds []Round) string {
	own := goodput(t.at(shape, targetApplepier)).median()
	other := goodput(rounds).median()
	if rounds[0].Target == targetApplepier || other == 0 {
		return ""
	}
	return fmt.Sprintf("%.2f", own/other)
}

// goodput is that of the shape's height.
func goodput(rounds []Round) sample {
	return sampleOf(rounds, func(r Round) float64 { return height(r.Report).Total.Goodput })
}

func topTierMissed(rounds []Round) string {
	missed, sent := 0, 0
	for _, round := range rounds {
		for _, class := range round.Report.Classes {
			if class.Tier == 0 {
				sent += class.Sent
				missed += class.Sent - class.OnTime
			}
		}
	}
	return fmt.Sprintf("%d of %d", missed, sent)
}

func sum(rounds []Round, figure func(Round) int) int {
	total := 0
	for _, round := range rounds {
		total += figure(round)
	}
	return total
}
