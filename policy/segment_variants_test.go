package policy

import (
	"math"
	"slices"
	"testing"
	"time"
)

// greedySegments quarantines segments by the rule for whole requests: three crashes, ten seconds of
// grace after an answer, and of several suspects with the same crashes an arbitrary one.
type greedySegments struct{ *Quarantine }

func newGreedySegments() segmentQuarantine { return greedySegments{NewQuarantine()} }

func (g greedySegments) ObserveSegmentCrash(segments []SegmentID, crash Crash) {
	for _, s := range segments {
		g.ObserveCrash(crash.At, Fingerprint(s), crash.Instance)
	}
}

func (g greedySegments) ObserveAnswer(began time.Time, segments []SegmentID) {
	for _, s := range segments {
		g.ObserveResponse(began, Fingerprint(s))
	}
}

func (g greedySegments) SegmentsQuarantined(now time.Time, segments []SegmentID, _ func(uint64) bool) bool {
	return slices.ContainsFunc(segments, func(s SegmentID) bool { return g.Quarantined(now, Fingerprint(s)) })
}

// likelihoodSegments refuses each segment for which the crashes and answers are likelier if it crashes
// servers than if it doesn't. All gateways share one state without delay or loss, which favors it.
type likelihoodSegments struct {
	scores  map[SegmentID]float64
	crashed map[SegmentID]map[Key]bool
}

// Probabilities that a run ends with its server, if one of its segments crashes servers and if none
// does, and the odds that a segment does, before any evidence.
const (
	crashIfDeadly = 0.95
	crashIfSound  = 0.05
	priorOdds     = 1e-4
)

func newLikelihoodSegments() *likelihoodSegments {
	return &likelihoodSegments{map[SegmentID]float64{}, map[SegmentID]map[Key]bool{}}
}

func (l *likelihoodSegments) ObserveSegmentCrash(segments []SegmentID, crash Crash) {
	for _, s := range segments {
		if l.crashed[s] == nil {
			l.crashed[s] = map[Key]bool{}
		}
		if !l.crashed[s][crash.Instance] {
			l.crashed[s][crash.Instance] = true
			l.scores[s] += math.Log(crashIfDeadly / crashIfSound)
		}
	}
}

func (l *likelihoodSegments) ObserveAnswer(_ time.Time, segments []SegmentID) {
	for _, s := range segments {
		// Without the bound, a segment that was sound for long could never be refused.
		l.scores[s] = max(l.scores[s]+math.Log((1-crashIfDeadly)/(1-crashIfSound)), 0)
	}
}

func (l *likelihoodSegments) SegmentsQuarantined(_ time.Time, segments []SegmentID, _ func(uint64) bool) bool {
	return slices.ContainsFunc(segments, func(s SegmentID) bool { return l.scores[s]+math.Log(priorOdds) > 0 })
}

func (l *likelihoodSegments) Updates(time.Time) []Suspicion               { return nil }
func (l *likelihoodSegments) Merge(time.Time, []Suspicion)                {}
func (l *likelihoodSegments) TakeChanges() (_ []Suspicion, _ []SuspectID) { return nil, nil }

// The design that ships refuses fewer sound requests, over all workloads, than the others that were
// weighed, and stays within the number of crashes wherever they do.
func TestSegmentQuarantineAgainstOtherDesigns(t *testing.T) {
	designs := map[string]func() func() segmentQuarantine{
		"ships":  func() func() segmentQuarantine { return newSegmentQuarantine },
		"greedy": func() func() segmentQuarantine { return newGreedySegments },
		"likelihood": func() func() segmentQuarantine {
			shared := newLikelihoodSegments()
			return func() segmentQuarantine { return shared }
		},
	}
	workloads := segmentWorkloads()
	refused := map[string]int{}
	for _, name := range []string{"base", "few sharers", "frequent", "mass crashes", "none deadly, all end", "three beside"} {
		overBudget := map[string]int{}
		for design, create := range designs {
			summary := summarize(workloads[name], *segmentDraws, create)
			t.Logf("%s, %s: %s", name, design, summary)
			refused[design] += summary.soundRefused
			overBudget[design] = summary.overBudget
		}
		if overBudget["ships"] > min(overBudget["greedy"], overBudget["likelihood"]) {
			t.Errorf("%s: draws over the count by design %v", name, overBudget)
		}
	}
	if refused["ships"] > min(refused["greedy"], refused["likelihood"]) {
		t.Errorf("sound requests refused by design %v", refused)
	}
}
