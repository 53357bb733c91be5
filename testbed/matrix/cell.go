// Package matrix injects faults at each step of a request, a plain service's call,
// a change of targets and a lease, and during planned stops, the draining of a VM
// and bursts. Each cell runs on its own fleet of real processes, and its recorded
// history is checked with package history. A cell is plain data: a subject, the
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
	// StepBeforeTicket is reached when the entry has sent a ticket and the agent has
	// not received it.
	StepBeforeTicket Step = "before-ticket"
	// StepWaiting is reached when the ticket waits for a grant.
	StepWaiting Step = "ticket-waiting"
	// StepGranted is reached when the agent has sent the grant.
	StepGranted Step = "granted"
	// StepBodySent is reached when the entry has sent the first chunk of the granted
	// request.
	StepBodySent Step = "body-sent"
	// StepStarted is reached when the agent has sent the first chunk of the response,
	// or when a plain service has recorded the call.
	StepStarted Step = "started"
	// StepMidStream is reached when the agent has sent midStreamChunks chunks.
	StepMidStream Step = "mid-stream"
	// StepLastFrame is reached when the agent has sent the response's end marker.
	StepLastFrame Step = "last-frame"
	// StepAfterEnd is reached when the call has ended.
	StepAfterEnd Step = "after-end"
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
