package measure

import (
	"fmt"

	"github.com/applepier/applepier/testbed/load"
)

// writeRetries writes a table of refused clients, their retries and the retry delays.
func (t table) writeRetries() {
	t.header("shape", "refused", "came back in time", "then on time", "then late", "hint, median s", "longest hint, s")
	for _, shape := range t.shapes {
		rounds := t.resultsFor(shape, targetApplepier)
		if len(rounds) == 0 {
			continue
		}
		count := func(figure func(load.ClassReport) int) int {
			return sum(rounds, func(r Round) int { return figure(r.Report.Total) })
		}
		back := count(func(c load.ClassReport) int { return c.CameBack })
		served := count(func(c load.ClassReport) int { return c.Served })
		t.row(shape,
			fmt.Sprint(count(func(c load.ClassReport) int { return c.Refused })),
			fmt.Sprint(back),
			countWithPercent(served, back),
			countWithPercent(count(func(c load.ClassReport) int { return c.ServedLate }), back),
			newSample(rounds, func(r Round) float64 { return r.Report.Total.RetryAfterMedianS }).formatted("%.0f"),
			newSample(rounds, func(r Round) float64 { return r.Report.Total.RetryAfterMaxS }).formatted("%.0f"),
		)
	}
	_, _ = fmt.Fprintln(t.out)
}

func countWithPercent(part, whole int) string {
	if whole == 0 {
		return "none"
	}
	return fmt.Sprintf("%d (%.0f%%)", part, percent*float64(part)/float64(whole))
}

// writeAddedLatency writes a table of latencies at quiet load, through the system and
// with engines called directly.
func (t table) writeAddedLatency() {
	own, direct := t.resultsFor(quietShape, targetApplepier), t.resultsFor(quietShape, targetDirect)
	if len(own) == 0 || len(direct) == 0 {
		return
	}
	t.header("quiet, ms", "through applepier p50", "p95", "direct p50", "p95", "added p50", "added p95")
	for i, class := range own[0].Report.Classes {
		t.addedLatencyRow(class.Class+", first token", own, direct,
			func(r Round) float64 { return r.Report.Classes[i].FirstTokenP50MS },
			func(r Round) float64 { return r.Report.Classes[i].FirstTokenP95MS })
		t.addedLatencyRow(class.Class+", between tokens", own, direct,
			func(r Round) float64 { return r.Report.Classes[i].BetweenTokensP50MS },
			func(r Round) float64 { return r.Report.Classes[i].BetweenTokensP95MS })
	}
	_, _ = fmt.Fprintln(t.out)
}

func (t table) addedLatencyRow(name string, own, direct []Round, p50, p95 func(Round) float64) {
	own50, own95 := newSample(own, p50), newSample(own, p95)
	direct50, direct95 := newSample(direct, p50), newSample(direct, p95)
	t.row(name, own50.formatted("%.1f"), own95.formatted("%.1f"), direct50.formatted("%.1f"), direct95.formatted("%.1f"),
		fmt.Sprintf("%.1f", own50.median()-direct50.median()),
		fmt.Sprintf("%.1f", own95.median()-direct95.median()))
}
