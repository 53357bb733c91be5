package rounds

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// Comparison holds the runs of one day at one site before and after a change.
type Comparison struct {
	Site, Day     string
	Before, After []Day
}

// Compare groups the runs of two commits or reasons by site and day; see Run.Matches.
// The result is sorted by site and day and includes days that ran on one side only.
func Compare(runs []Run, before, after string) []Comparison {
	rows := map[string]*Comparison{}
	for i := range runs {
		run := &runs[i]
		for _, d := range run.Days {
			if !run.Matches(before) && !run.Matches(after) {
				continue
			}
			key := run.Site + " " + d.Name
			if rows[key] == nil {
				rows[key] = &Comparison{Site: run.Site, Day: d.Name}
			}
			if run.Matches(before) {
				rows[key].Before = append(rows[key].Before, d)
			}
			if run.Matches(after) {
				rows[key].After = append(rows[key].After, d)
			}
		}
	}
	var sorted []Comparison
	for _, key := range slices.Sorted(maps.Keys(rows)) {
		sorted = append(sorted, *rows[key])
	}
	return sorted
}

// WriteComparisons writes a table with the medians before and after the change, and
// the rules that were broken after it.
func WriteComparisons(out io.Writer, rows []Comparison) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	// The table buffers its output, so that errors are returned by Flush.
	_, _ = fmt.Fprintln(table, "site\tday\truns\tworth\tserved\trefused\tfailed\trules broken")
	for _, r := range rows {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d, %d\t%s\t%s\t%s\t%s\t%s\n", r.Site, r.Day, len(r.Before), len(r.After),
			r.medians(func(d Day) float64 { return d.Score }), r.medians(func(d Day) float64 { return d.Served }),
			r.medians(func(d Day) float64 { return d.Refused }), r.medians(func(d Day) float64 { return d.Failed }), r.brokenRules())
	}
	return table.Flush()
}

// medians formats the medians of a metric before and after the change.
func (r *Comparison) medians(metric func(Day) float64) string {
	return median(r.Before, metric) + ", " + median(r.After, metric)
}

// median formats the median of a metric; "-" without runs.
func median(days []Day, metric func(Day) float64) string {
	if len(days) == 0 {
		return "-"
	}
	values := make([]float64, len(days))
	for i, d := range days {
		values[i] = metric(d)
	}
	slices.Sort(values)
	value := (values[(len(values)-1)/2] + values[len(values)/2]) / 2
	return fmt.Sprintf("%.3f", value)
}

// brokenRules returns the names of the rules that were broken after the change.
func (r *Comparison) brokenRules() string {
	names := map[string]bool{}
	for _, d := range r.After {
		for name := range d.Rules {
			names[name] = true
		}
	}
	return strings.Join(slices.Sorted(maps.Keys(names)), " ")
}
