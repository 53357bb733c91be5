// Package matrix brings about every fault at every step of a request, of a
// change of targets and of a planned stop, on a fleet of real processes, and
// has the history judged by package history. A cell is data: a subject, the
// step it has reached, and one or two faults. Start reading at Run.
package matrix

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Subject is what a cell's faults hit.
type Subject string

// Subjects of cells.
const (
	// SubjectDocket is a request that must not be repeated.
	SubjectDocket Subject = "docket"
	// SubjectSummary is a long stream that may be repeated and resumed.
	SubjectSummary Subject = "summary"
	// SubjectTargets is a change of targets.
	SubjectTargets Subject = "targets"
	// SubjectLeaving is a backend server VM that leaves.
	SubjectLeaving Subject = "leaving"
	// SubjectStop is a planned stop.
	SubjectStop Subject = "stop"
)

// Step is how far the subject has come when the fault comes.
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

// RequestSteps lists the steps of a request in their order.
var RequestSteps = []Step{
	StepBeforeTicket, StepWaiting, StepGranted, StepBodySent,
	StepStarted, StepMidStream, StepLastFrame, StepAfterEnd,
}

// Cell is one test of the matrix.
type Cell struct {
	Subject Subject
	Step    Step
	Faults  []Kind
	Seed    uint64
}

// Name identifies the cell in the table.
func (c Cell) Name() string {
	return fmt.Sprintf("%s/%s/%s", c.Subject, c.Step, c.faultNames())
}

func (c Cell) faultNames() string {
	faults := make([]string, 0, len(c.Faults))
	for _, f := range c.Faults {
		faults = append(faults, string(f))
	}
	return strings.Join(faults, "+")
}

// loadLag is the age that the engines' load reports reach; zero for the usual.
func (c Cell) loadLag() time.Duration {
	if slices.Contains(c.Faults, StaleLoad) {
		return staleLoadLag
	}
	return 0
}
