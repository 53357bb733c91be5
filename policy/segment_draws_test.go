package policy

import (
	"flag"
	"fmt"
	"slices"
	"testing"
)

// segmentDraws is how many draws of each workload TestSegmentQuarantineOverManyDraws simulates.
var segmentDraws = flag.Int("segment-draws", 3, "draws of each workload")

// Guards against a quarantine that holds for one lucky draw: over many draws of each workload, a
// segment that crashes servers is sent to at most three of them later than contactTime after the
// fifth, and at least half of the sound requests that share its other segments run.
func TestSegmentQuarantineOverManyDraws(t *testing.T) {
	for name, w := range segmentWorkloads() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			summary := summarize(w, *segmentDraws, func() func() segmentQuarantine { return newSegmentQuarantine })
			t.Logf("%s: %s", name, summary)
			if summary.overBudget > 0 {
				t.Errorf("in %d draws more than three runs came late", summary.overBudget)
			}
			if summary.overRefused > 0 {
				t.Errorf("in %d draws more than half of the sound requests were refused", summary.overRefused)
			}
		})
	}
}

// segmentSummary sums up the outcomes of many draws.
type segmentSummary struct {
	runs []int
	// overBudget and overRefused are the numbers of draws with more than three late runs, and with
	// more than half of the judged sound requests refused.
	overBudget, overRefused int
	sound, soundRefused     int
}

// summarize simulates draws of a workload. newDesign is called for each draw and returns the function
// that makes a gateway's state.
func summarize(w segmentWorkload, draws int, newDesign func() func() segmentQuarantine) segmentSummary {
	var s segmentSummary
	for seed := range uint64(draws) {
		o := simulateSegments(w, seed, newDesign())
		s.runs = append(s.runs, o.deadlyRuns)
		s.sound += o.sound
		s.soundRefused += o.soundRefused
		if o.late > 3 {
			s.overBudget++
		}
		if o.judged >= 20 && o.refused*2 > o.judged {
			s.overRefused++
		}
	}
	slices.Sort(s.runs)
	return s
}

// String describes the distribution.
func (s segmentSummary) String() string {
	n := len(s.runs)
	return fmt.Sprintf("deadly runs: median %d, p99 %d, most %d; over budget %d of %d, over half refused %d; sound refused %d of %d",
		s.runs[n/2], s.runs[n*99/100], s.runs[n-1], s.overBudget, n, s.overRefused, s.soundRefused, s.sound)
}
