package measure

import (
	"fmt"

	"github.com/applepier/applepier/testbed/load"
)

// writeRetries writes a table of the system's refused requests, their retries and the
// Retry-After of the refusals ("hint").
func (t table) writeRetries() {
	t.header("shape", "refused", "came back in time", "then on time", "then late", "hint, median s", "longest hint, s")
	for _, shape := range t.shapes {
		results := t.resultsFor(shape, targetApplepier)
		if len(results) == 0 {
			continue
		}
		count := func(metric func(load.ClassReport) int) int {
			return sum(results, func(r Result) int { return metric(r.Report.Total) })
		}
		retried := count(func(c load.ClassReport) int { return c.Retried })
		served := count(func(c load.ClassReport) int { return c.RetriedOnTime })
		t.row(shape,
			fmt.Sprint(count(func(c load.ClassReport) int { return c.Refused })),
			fmt.Sprint(retried),
			countWithPercent(served, retried),
			countWithPercent(count(func(c load.ClassReport) int { return c.RetriedLate }), retried),
			newSample(results, func(r Result) float64 { return r.Report.Total.RetryAfterMedianS }).formatted("%.0f"),
			newSample(results, func(r Result) float64 { return r.Report.Total.RetryAfterMaxS }).formatted("%.0f"),
		)
	}
	_, _ = fmt.Fprintln(t.out)
}

func countWithPercent(part, total int) string {
	if total == 0 {
		return "none"
	}
	return fmt.Sprintf("%d (%.0f%%)", part, percent*float64(part)/float64(total))
}

// writeAddedLatency writes a table of latencies at quiet load, through the system and
// with engines called directly.
func (t table) writeAddedLatency() {
	system, direct := t.resultsFor(quietShape, targetApplepier), t.resultsFor(quietShape, targetDirect)
	if len(system) == 0 || len(direct) == 0 {
		return
	}
	t.header("quiet, ms", "through applepier p50", "p95", "direct p50", "p95", "added p50", "added p95")
	for i, class := range system[0].Report.Classes {
		t.addedLatencyRow(class.Class+", first token", system, direct,
			func(r Result) float64 { return r.Report.Classes[i].FirstTokenP50MS },
			func(r Result) float64 { return r.Report.Classes[i].FirstTokenP95MS })
		t.addedLatencyRow(class.Class+", between tokens", system, direct,
			func(r Result) float64 { return r.Report.Classes[i].BetweenTokensP50MS },
			func(r Result) float64 { return r.Report.Classes[i].BetweenTokensP95MS })
	}
	_, _ = fmt.Fprintln(t.out)
}

func (t table) addedLatencyRow(name string, system, direct []Result, p50, p95 func(Result) float64) {
	system50, system95 := newSample(system, p50), newSample(system, p95)
	direct50, direct95 := newSample(direct, p50), newSample(direct, p95)
	t.row(name, system50.formatted("%.1f"), system95.formatted("%.1f"), direct50.formatted("%.1f"), direct95.formatted("%.1f"),
		fmt.Sprintf("%.1f", system50.median()-direct50.median()),
		fmt.Sprintf("%.1f", system95.median()-direct95.median()))
}
