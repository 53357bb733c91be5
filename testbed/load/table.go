package load

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteTable writes the report as a text table with one row per class, followed
// by notes on phases, failures and retries.
func (r *Report) WriteTable(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%s, seed %d, target %s: %.1f s\n", r.Scenario, r.Seed, r.Target, r.Seconds)
	if err != nil {
		return err
	}
	tabbed := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	header := "class\ttier\tsent\ton time\tlate\trefused\tunknown\tbroken\twrong\tattained\tfirst p50\tp95\twasted tokens\t"
	if _, err := fmt.Fprintln(tabbed, header); err != nil {
		return err
	}
	for _, class := range append(append([]ClassReport{}, r.Classes...), r.Total) {
		if err := class.writeRow(tabbed); err != nil {
			return err
		}
	}
	if err := tabbed.Flush(); err != nil {
		return err
	}
	return r.writeNotes(w)
}

func (c ClassReport) writeRow(w io.Writer) error {
	tier := fmt.Sprint(c.Tier)
	if c.Class == "total" {
		tier = ""
	}
	_, err := fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f%%\t%.0f ms\t%.0f ms\t%d (%.1f%%)\t\n",
		c.Class, tier, c.Sent, c.OnTime, c.Late, c.Refused, c.Unknown, c.Broken, c.Wrong,
		100*c.Attainment, c.FirstTokenP50MS, c.FirstTokenP95MS, c.WastedTokens, 100*c.WastedShare)
	return err
}

// writeNotes writes the goodput by phase and, where there are any, the failures,
// the Retry-After times, the retries and refused requests that ran.
func (r *Report) writeNotes(w io.Writer) error {
	for _, phase := range r.Phases {
		_, err := fmt.Fprintf(w, "phase %s: %d sent, goodput %.1f responses/s, %.0f tokens/s\n",
			phase.Name, phase.Total.Sent, phase.Total.Goodput, float64(phase.Total.OnTimeTokens)/phase.Seconds)
		if err != nil {
			return err
		}
	}
	for _, failure := range r.Failures {
		if _, err := fmt.Fprintf(w, "failed: %d %s: %s\n", failure.Count, failure.Class, failure.Detail); err != nil {
			return err
		}
	}
	if total := r.Total; total.Refused > 0 {
		_, err := fmt.Fprintf(w, "Retry-After: median %.0f s, maximum %.0f s\n", total.RetryAfterMedianS, total.RetryAfterMaxS)
		if err != nil {
			return err
		}
	}
	if total := r.Total; total.Retried > 0 {
		_, err := fmt.Fprintf(w, "retried after Retry-After: %d, of these on time %d, late %d\n", total.Retried, total.RetriedOnTime, total.RetriedLate)
		if err != nil {
			return err
		}
	}
	if r.Total.RefusedButRan > 0 {
		_, err := fmt.Fprintf(w, "refused but run by an engine: %d\n", r.Total.RefusedButRan)
		return err
	}
	return nil
}
