// Package matrix injects every fault at every step of a request, a change of
// targets and a planned stop, on a fleet of real processes, and checks the
// recorded history with package history. A cell is plain data: a subject, the
// step that it has reached, and one or two faults. Start reading at Run.
package matrix

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Subject is the operation that a cell's faults are injected into.
type Subject string

// Subjects of cells.
const (
	// SubjectDocket is a request that must not be repeated.
	SubjectDocket Subject = "docket"
	// SubjectSummary is a long stream that may be repeated and resumed.
	SubjectSummary Subject = "summary"
	// SubjectTargets is a change of targets.
	SubjectTargets Subject = "targets"
	// SubjectDraining is a backend server VM that is draining.
	SubjectDraining Subject = "leaving"
	// SubjectStop is a planned stop of one or two processes.
	SubjectStop Subject = "stop"
)

// Step is the progress of the subject at which the fault is injected.
type Step string

// Steps of a request.
const (
	StepBeforeTicket Step = "before-ticket"
	StepWaiting      Step = "ticket-waiting"
	StepGranted      Step = "granted"
	StepBodySent     Step = "body-sent"
	StepStarted      Step = "started"
	StepMidStream    Step = "mid-stream"
	StepLastFrame    Step = "last-frame"
	StepAfterEnd     Step = "after-end"
)

// RequestSteps lists the steps of a request in order.
var RequestSteps = []Step{
	StepBeforeTicket, StepWaiting, StepGranted, StepBodySent,
	StepStarted, StepMidStream, StepLastFrame, StepAfterEnd,
}

// Cell is one test case of the matrix.
type Cell struct {
	Subject Subject
	Step    Step
	Faults  []FaultKind
	Seed    uint64
}

// Name returns the cell's name, "subject/step/faults", without the seed.
func (c Cell) Name() string {
	return fmt.Sprintf("%s/%s/%s", c.Subject, c.Step, c.faultNames())
}

// faultNames returns the names of the cell's faults, joined by "+".
func (c Cell) faultNames() string {
	faults := make([]string, 0, len(c.Faults))
	for _, f := range c.Faults {
		faults = append(faults, string(f))
	}
	return strings.Join(faults, "+")
}

// loadReportAge returns the age of the engines' load reports; 0 means the default.
func (c Cell) loadReportAge() time.Duration {
	if slices.Contains(c.Faults, StaleLoad) {
		return staleLoadAge
	}
	return 0
}
