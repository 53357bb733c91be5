package measure

import "testing"

// TestSampleFormatted guards against a wrong median and against a range for values that
// look equal.
func TestSampleFormatted(t *testing.T) {
	metric := func(r Result) float64 { return r.Useful }
	for want, results := range map[string][]Result{
		"2 (1 to 9)": {{Useful: 9}, {Useful: 1}, {Useful: 2}},
		"2":          {{Useful: 2.1}, {Useful: 1.9}},
		"not run":    nil,
	} {
		if got := newSample(results, metric).formatted("%.0f"); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}
