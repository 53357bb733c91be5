package load

import (
	"time"

	"github.com/applepier/applepier/testbed/engine"
)

// Report sums up a run.
type Report struct {
	// Scenario, Seed and Target say what was run.
	Scenario string `json:"scenario"`
	Seed     uint64 `json:"seed"`
	Target   string `json:"target"`
	// Seconds is the time from the first request to the last answer.
	Seconds float64 `json:"seconds"`
	// Total and Classes sum up the whole run.
	Total   ClassReport   `json:"total"`
	Classes []ClassReport `json:"classes"`
	// Phases sum up the requests that were due in each phase.
	Phases []PhaseReport `json:"phases"`
	// Details tell what went wrong with broken and wrong answers.
	Details []DetailCount `json:"details,omitempty"`
}

// PhaseReport sums up the requests that were due in one phase.
type PhaseReport struct {
	Name    string        `json:"name"`
	Seconds float64       `json:"seconds"`
	Total   ClassReport   `json:"total"`
	Classes []ClassReport `json:"classes"`
}

// production is what the engines did for one request.
type production struct {
	runs   int
	tokens int
}

// newReport sums up the requests against the engines' record of runs.
func newReport(options Options, sending time.Duration, records []record, runs []engine.Record) *Report {
	produced := produce(runs)
	scenario := options.Scenario
	total := newPhaseSummary(scenario)
	phases := make([]*phaseSummary, len(scenario.Shape.Phases))
	for i := range phases {
		phases[i] = newPhaseSummary(scenario)
	}
	for _, rec := range records {
		total.add(rec, produced[rec.fingerprint])
		phases[rec.arrival.phase].add(rec, produced[rec.fingerprint])
	}
	report := &Report{
		Scenario: scenario.Name(),
		Seed:     options.Seed,
		Target:   options.Target,
		Seconds:  sending.Seconds(),
	}
	whole := total.report("all", scenario.Duration())
	report.Details = details(scenario, records)
	report.Total, report.Classes = whole.Total, whole.Classes
	for i, phase := range scenario.Shape.Phases {
		report.Phases = append(report.Phases, phases[i].report(phase.Name, phase.Duration))
	}
	return report
}

// produce sums up the engines' runs by request.
func produce(runs []engine.Record) map[string]production {
	produced := make(map[string]production, len(runs))
	for _, run := range runs {
		if run.Started == nil {
			continue
		}
		p := produced[run.Fingerprint]
		p.runs++
		p.tokens += run.Tokens
		produced[run.Fingerprint] = p
	}
	return produced
}

// phaseSummary gathers the requests of a phase.
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

func (p *phaseSummary) add(rec record, made production) {
	p.total.add(rec, made)
	p.classes[rec.arrival.class].add(rec, made)
}

func (p *phaseSummary) report(name string, duration time.Duration) PhaseReport {
	report := PhaseReport{Name: name, Seconds: duration.Seconds(), Total: p.total.report(duration)}
	for _, class := range p.classes {
		report.Classes = append(report.Classes, class.report(duration))
	}
	return report
}
