package measure

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/applepier/applepier/testbed/baseline"
)

const percent = 100

// WriteTables writes Markdown tables of all results: medians over the seeds, with the
// lowest and the highest value where they differ.
func WriteTables(w io.Writer, options Options, results []Result) {
	for _, mix := range options.Mixes {
		t := table{out: w, shapes: options.Shapes, results: filter(results, func(r Result) bool { return r.Mix == mix })}
		if len(t.results) == 0 {
			continue
		}
		_, _ = fmt.Fprintf(w, "## %s\n\n", mix)
		t.writeScenarios()
		t.writeRetries()
		t.writeAddedLatency()
	}
}

// table writes the results of one mix.
type table struct {
	out     io.Writer
	shapes  []string
	results []Result
}

func filter(results []Result, keep func(Result) bool) []Result {
	return slices.DeleteFunc(slices.Clone(results), func(r Result) bool { return !keep(r) })
}

// resultsFor returns the results of all seeds for a shape and a target.
func (t table) resultsFor(shape, target string) []Result {
	return filter(t.results, func(r Result) bool { return r.Shape == shape && r.Target == target })
}

func (t table) row(cells ...string) {
	_, _ = fmt.Fprintf(t.out, "| %s |\n", strings.Join(cells, " | "))
}

func (t table) header(cells ...string) {
	t.row(cells...)
	t.row(slices.Repeat([]string{"---"}, len(cells))...)
}

func (t table) writeScenarios() {
	cells := []string{"shape", "target"}
	for _, class := range t.results[0].Report.Classes {
		cells = append(cells, class.Class)
	}
	cells = append(cells, "top tier missed", "goodput/s", "useful", "wasted", "longest wait, s", "ran_though_refused", "goodput ratio")
	t.header(cells...)
	for _, shape := range t.shapes {
		for _, target := range append([]string{targetApplepier}, baseline.Names()...) {
			if results := t.resultsFor(shape, target); len(results) > 0 {
				t.row(append([]string{shape, target}, t.metricCells(shape, results)...)...)
			}
		}
	}
	_, _ = fmt.Fprintln(t.out)
}

func (t table) metricCells(shape string, results []Result) []string {
	var cells []string
	for i := range results[0].Report.Classes {
		attainment := newSample(results, func(r Result) float64 { return percent * r.Report.Classes[i].Attainment })
		cells = append(cells, attainment.formatted("%.1f"))
	}
	return append(cells,
		topTierMissed(results),
		goodput(results).formatted("%.1f"),
		newSample(results, func(r Result) float64 { return percent * r.Useful }).formatted("%.0f%%"),
		newSample(results, func(r Result) float64 { return percent * r.Report.Total.WastedShare }).formatted("%.1f%%"),
		newSample(results, func(r Result) float64 { return r.Report.Total.FirstTokenMaxMS / 1000 }).formatted("%.1f"),
		fmt.Sprint(sum(results, func(r Result) int { return r.Report.Total.RefusedButRan })),
		t.goodputRatio(shape, results),
	)
}

// goodputRatio returns the system's goodput divided by that of a baseline; empty for
// the system itself.
func (t table) goodputRatio(shape string, results []Result) string {
	system := goodput(t.resultsFor(shape, targetApplepier)).median()
	baselineGoodput := goodput(results).median()
	if results[0].Target == targetApplepier || baselineGoodput == 0 {
		return ""
	}
	return fmt.Sprintf("%.2f", system/baselineGoodput)
}

// goodput returns the goodput during the shape's peak phase, in requests per second.
func goodput(results []Result) sample {
	return newSample(results, func(r Result) float64 { return peakPhase(r.Report).Total.Goodput })
}

// topTierMissed formats how many requests of tier 0, the highest, weren't on time.
func topTierMissed(results []Result) string {
	missed, sent := 0, 0
	for _, result := range results {
		for _, class := range result.Report.Classes {
			if class.Tier == 0 {
				sent += class.Sent
				missed += class.Sent - class.OnTime
			}
		}
	}
	return fmt.Sprintf("%d of %d", missed, sent)
}

func sum(results []Result, metric func(Result) int) int {
	total := 0
	for _, result := range results {
		total += metric(result)
	}
	return total
}
