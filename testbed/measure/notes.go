package measure

import (
	"fmt"

	"github.com/applepier/applepier/testbed/load"
)

// writeHints writes what became of callers that were refused.
func (t table) writeHints() {
	t.head("shape", "refused", "came back in time", "then on time", "then late", "hint, median s", "longest hint, s")
	for _, shape := range t.shapes {
		rounds := t.at(shape, targetApplepier)
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
			portion(served, back),
			portion(count(func(c load.ClassReport) int { return c.ServedLate }), back),
			sampleOf(rounds, func(r Round) float64 { return r.Report.Total.RetryAfterMedianS }).text("%.0f"),
			sampleOf(rounds, func(r Round) float64 { return r.Report.Total.RetryAfterMaxS }).text("%.0f"),
		)
	}
	_, _ = fmt.Fprintln(t.out)
}

func portion(part, whole int) string {
	if whole == 0 {
		return "none"
	}
	return fmt.Sprintf("%d (%.0f%%)", part, percent*float64(part)/float64(whole))
}

// writeAdded writes the times at quiet load beside those of the engines called
// directly.
func (t table) writeAdded() {
	own, direct := t.at(quiet, targetApplepier), t.at(quiet, targetDirect)
	if len(own) == 0 || len(direct) == 0 {
		return
	}
	t.head("quiet, ms", "through applepier p50", "p95", "direct p50", "p95", "added p50", "added p95")
	for i, class := range own[0].Report.Classes {
		t.added(class.Class+", first token", own, direct,
			func(r Round) float64 { return r.Report.Classes[i].FirstTokenP50MS },
			func(r Round) float64 { return r.Report.Classes[i].FirstTokenP95MS })
		t.added(class.Class+", between tokens", own, direct,
			func(r Round) float64 { return r.Report.Classes[i].BetweenTokensP50MS },
			func(r Round) float64 { return r.Report.Classes[i].BetweenTokensP95MS })
	}
	_, _ = fmt.Fprintln(t.out)
}

func (t table) added(name string, own, direct []Round, p50, p95 func(Round) float64) {
	own50, own95 := sampleOf(own, p50), sampleOf(own, p95)
	direct50, direct95 := sampleOf(direct, p50), sampleOf(direct, p95)
	t.row(name, own50.text("%.1f"), own95.text("%.1f"), direct50.text("%.1f"), direct95.text("%.1f"),
		fmt.Sprintf("%.1f", own50.median()-direct50.median()),
		fmt.Sprintf("%.1f", own95.median()-direct95.median()))
}
