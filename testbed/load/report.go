package load

import (
	"time"

	"github.com/applepier/applepier/testbed/engine"
)

// Report summarizes a run.
type Report struct {
	// Scenario, Seed and Target identify the run.
	Scenario string `json:"scenario"`
	Seed     uint64 `json:"seed"`
	Target   string `json:"target"`
	// Seconds is the time from the start of the run to the last response.
	Seconds float64 `json:"seconds"`
	// Total and Classes summarize the complete run.
	Total   ClassReport   `json:"total"`
	Classes []ClassReport `json:"classes"`
	// Phases summarize the requests that were scheduled in each phase.
	Phases []PhaseReport `json:"phases"`
	// Failures counts broken and wrong responses by failure detail.
	Failures []FailureCount `json:"details,omitempty"`
}

// PhaseReport summarizes the requests that were scheduled in one phase.
type PhaseReport struct {
	Name    string        `json:"name"`
	Seconds float64       `json:"seconds"`
	Total   ClassReport   `json:"total"`
	Classes []ClassReport `json:"classes"`
}

// engineWork is the number of runs and tokens that the engines spent on one
// request.
type engineWork struct {
	runs   int
	tokens int
}

// newReport builds the report from the requests and the engines' records of runs.
func newReport(options Options, elapsed time.Duration, records []requestRecord, runs []engine.RunRecord) *Report {
	work := workByFingerprint(runs)
	scenario := options.Scenario
	total := newPhaseSummary(scenario)
	phases := make([]*phaseSummary, len(scenario.Shape.Phases))
	for i := range phases {
		phases[i] = newPhaseSummary(scenario)
	}
	for _, request := range records {
		total.add(request, work[request.fingerprint])
		phases[request.arrival.phase].add(request, work[request.fingerprint])
	}
	report := &Report{
		Scenario: scenario.Name(),
		Seed:     options.Seed,
		Target:   options.Target,
		Seconds:  elapsed.Seconds(),
	}
	overall := total.report("all", scenario.Duration())
	report.Failures = countFailures(scenario, records)
	report.Total, report.Classes = overall.Total, overall.Classes
	for i, phase := range scenario.Shape.Phases {
		report.Phases = append(report.Phases, phases[i].report(phase.Name, phase.Duration))
	}
	return report
}

// workByFingerprint adds up the engines' started runs by request fingerprint.
func workByFingerprint(runs []engine.RunRecord) map[string]engineWork {
	work := make(map[string]engineWork, len(runs))
	for _, run := range runs {
		if run.Started == nil {
			continue
		}
		w := work[run.Fingerprint]
		w.runs++
		w.tokens += run.Tokens
		work[run.Fingerprint] = w
	}
	return work
}

// phaseSummary accumulates the requests of a phase or of the complete run, in total
// and by class.
type phaseSummary struct {
	total   *summary
	classes []*summary
}

func newPhaseSummary(s Scenario) *phaseSummary {
	p := &phaseSummary{total: newSummary("total", 0)}
	for _, class := range s.Mix.Classes {
		p.classes = append(p.classes, newSummary(class.Name, class.Tier))
	}
	return p
}

func (p *phaseSummary) add(request requestRecord, work engineWork) {
	p.total.add(request, work)
	p.classes[request.arrival.class].add(request, work)
}

func (p *phaseSummary) report(name string, duration time.Duration) PhaseReport {
	report := PhaseReport{Name: name, Seconds: duration.Seconds(), Total: p.total.report(duration)}
	for _, class := range p.classes {
		report.Classes = append(report.Classes, class.report(duration))
	}
	return report
}
