package rounds

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// Row is a day's runs before and after a change.
type Row struct {
	Site, Day     string
	Before, After []Day
}

// Compare gathers the runs of two commits, or reasons, by site and day. Days that
// were played on one side only are in it as well.
func Compare(all []Entry, before, after string) []Row {
	rows := map[string]*Row{}
	for i := range all {
		e := &all[i]
		for _, d := range e.Days {
			if !e.Of(before) && !e.Of(after) {
				continue
			}
			key := e.Site + " " + d.Name
			if rows[key] == nil {
				rows[key] = &Row{Site: e.Site, Day: d.Name}
			}
			if e.Of(before) {
				rows[key].Before = append(rows[key].Before, d)
			}
			if e.Of(after) {
				rows[key].After = append(rows[key].After, d)
			}
		}
	}
	var sorted []Row
	for _, key := range slices.Sorted(maps.Keys(rows)) {
		sorted = append(sorted, *rows[key])
	}
	return sorted
}

// Write prints rows as a table of medians: before, after.
func Write(out io.Writer, rows []Row) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	// What is written goes into the table's buffer, and fails when it is flushed.
	_, _ = fmt.Fprintln(table, "site\tday\truns\tworth\tserved\trefused\tfailed\trules broken")
	for _, r := range rows {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d, %d\t%s\t%s\t%s\t%s\t%s\n", r.Site, r.Day, len(r.Before), len(r.After),
			r.pair(func(d Day) float64 { return d.Worth }), r.pair(func(d Day) float64 { return d.Served }),
			r.pair(func(d Day) float64 { return d.Refused }), r.pair(func(d Day) float64 { return d.Failed }), r.broken())
	}
	return table.Flush()
}

func (r *Row) pair(of func(Day) float64) string {
	return median(r.Before, of) + ", " + median(r.After, of)
}

// median is "-" for no runs.
func median(days []Day, of func(Day) float64) string {
	if len(days) == 0 {
		return "-"
	}
	values := make([]float64, len(days))
	for i, d := range days {
		values[i] = of(d)
	}
	slices.Sort(values)
	middle := (values[(len(values)-1)/2] + values[len(values)/2]) / 2
	return fmt.Sprintf("%.3f", middle)
}

// broken names the rules that were broken after the change.
func (r *Row) broken() string {
	names := map[string]bool{}
	for _, d := range r.After {
		for name := range d.Rules {
			names[name] = true
		}
	}
	return strings.Join(slices.Sorted(maps.Keys(names)), " ")
}
