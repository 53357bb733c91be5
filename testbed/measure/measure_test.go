package measure_test

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/measure"
)

// TestAShortMeasurement guards against targets that aren't run, wrong responses and
// incomplete tables, with a short run of one shape against all targets.
func TestAShortMeasurement(t *testing.T) {
	options := measure.Options{
		Mixes:         []string{"tampere"},
		Shapes:        []string{"quiet"},
		Targets:       measure.Targets(),
		Seeds:         1,
		Scale:         0.03,
		Parallel:      1,
		CallerTimeout: 20 * time.Second,
		Progress:      io.Discard,
	}
	rounds, err := measure.Run(t.Context(), options)
	if err != nil {
		t.Fatal(err)
	}
	var targets []string
	for _, round := range rounds {
		targets = append(targets, round.Target)
		if total := round.Report.Total; total.Sent == 0 || total.Wrong > 0 || total.RefusedButRan > 0 {
			t.Errorf("%s: %+v", round.Target, total)
		}
	}
	if got := strings.Join(targets, " "); got != "applepier direct roundrobin leastload" {
		t.Errorf("ran the targets %q", got)
	}
	var text strings.Builder
	measure.WriteTables(&text, options, rounds)
	for _, want := range []string{"## tampere", "| quiet | applepier |", "| quiet | leastload |", "hazard-flag, first token"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("tables lack %q:\n%s", want, text.String())
		}
	}
}
