package measure_test

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/measure"
)

// TestRunAndWriteTables guards against targets that aren't run, wrong responses and
// incomplete tables, with a short run of one shape against all targets.
func TestRunAndWriteTables(t *testing.T) {
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
	results, err := measure.Run(t.Context(), options)
	if err != nil {
		t.Fatal(err)
	}
	var targets []string
	for _, result := range results {
		targets = append(targets, result.Target)
		if total := result.Report.Total; total.Sent == 0 || total.Wrong > 0 || total.RefusedButRan > 0 {
			t.Errorf("%s: %+v", result.Target, total)
		}
	}
	if got := strings.Join(targets, " "); got != "applepier direct roundrobin leastload" {
		t.Errorf("ran the targets %q", got)
	}
	var text strings.Builder
	measure.WriteTables(&text, options, results)
	for _, want := range []string{"## tampere", "| quiet | applepier |", "| quiet | leastload |", "hazard-flag, first token"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("tables lack %q:\n%s", want, text.String())
		}
	}
}
