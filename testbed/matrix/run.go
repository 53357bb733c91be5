package matrix

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/testbed/fleet"
	"github.com/applepier/applepier/testbed/history"
)

// cellTimeout bounds one cell.
const cellTimeout = 4 * time.Minute

// logTailLines is the number of last log lines kept of each process of a failed cell.
const logTailLines = 60

// Result is the result of running a cell.
type Result struct {
	Cell Cell
	// Violations are the guarantees that were broken.
	Violations []history.Violation
	// Err is why the cell was not completed; nil if it was.
	Err error
	// Outcomes lists the outcomes that the subject's caller saw, in order; if there
	// are more than maxListedOutcomes, it counts them by outcome.
	Outcomes string
	// Logs holds the last log lines of each process if the cell failed.
	Logs string
	// Propagation is the longest time from the acceptance of a change of targets
	// until it was in force at a process.
	Propagation time.Duration
	// Took is the duration of the complete cell.
	Took time.Duration
}

// FirstViolation returns the first broken guarantee, or "" if there is none.
func (r Result) FirstViolation() string {
	if len(r.Violations) == 0 {
		return ""
	}
	return r.Violations[0].String()
}

// Faults returns the names of the cell's faults, joined by "+".
func (r Result) Faults() string { return r.Cell.faultNames() }

// Passed reports whether the cell was completed and broke no guarantee.
func (r Result) Passed() bool { return r.Err == nil && len(r.Violations) == 0 }

// Run runs one cell on its own fleet. Errors are reported in Result.Err.
func Run(ctx context.Context, binaries *fleet.Binaries, c Cell) Result {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, cellTimeout)
	defer cancel()
	result := Result{Cell: c}
	h, err := newHarness(ctx, binaries, c)
	if err != nil {
		result.Err = errors.Wrap(err, "start fleet")
		return result
	}
	defer h.close()
	result.Err = h.runUnderLoad(ctx, c)
	result.evaluate(h)
	result.Took = time.Since(start)
	return result
}

// runUnderLoad runs the cell under background load and then checks that every
// class is served.
func (h *harness) runUnderLoad(ctx context.Context, c Cell) error {
	stop := h.startBackground(ctx)
	err := h.runSubject(ctx, c)
	if err == nil {
		h.probe(ctx)
	}
	stop()
	h.calls.Wait()
	return err
}

// runSubject runs the cell according to its subject.
func (h *harness) runSubject(ctx context.Context, c Cell) error {
	switch c.Subject {
	case SubjectDocket, SubjectSummary:
		return h.runRequestCell(ctx, c)
	case SubjectTargets:
		return h.runTargetsCell(ctx, c)
	case SubjectStop:
		return h.runStopCell(ctx, c)
	case SubjectService:
		return h.runServiceCell(ctx, c)
	case SubjectLease:
		return h.runLeaseCell(ctx, c)
	case SubjectBurst:
		return h.runBurstCell(ctx, c)
	case SubjectDraining:
		return h.runDrainingCell(ctx, c)
	}
	return errors.Errorf("unknown subject %s", c.Subject)
}

// evaluate checks the recorded history and fills in the result.
func (r *Result) evaluate(h *harness) {
	recorded, err := h.collect()
	if err != nil {
		r.Err = errors.Join(r.Err, err)
		return
	}
	r.Violations = history.Check(recorded)
	r.Outcomes = subjectOutcomes(recorded, r.Cell)
	r.Propagation = longestPropagation(recorded)
	if !r.Passed() {
		var logs strings.Builder
		h.fleet.WriteLogs(&logs, logTailLines)
		r.Logs = logs.String()
	}
}

// maxListedOutcomes is the number of outcomes up to which each is listed.
const maxListedOutcomes = 12

// countOutcomes returns how often each outcome occurred, sorted by outcome.
func countOutcomes(outcomes []string) string {
	counts := map[string]int{}
	for _, outcome := range outcomes {
		counts[outcome]++
	}
	var parts []string
	for _, outcome := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[outcome], outcome))
	}
	return strings.Join(parts, ", ")
}

// subjectOutcomes lists the outcomes that the subject's caller saw.
func subjectOutcomes(h history.History, c Cell) string {
	var outcomes []string
	for _, call := range h.Calls {
		subject := call.Class == string(c.Subject) || (c.Subject == SubjectService && call.Class == classService)
		if subject && !strings.HasPrefix(call.Marker, "probe") {
			outcomes = append(outcomes, string(call.Outcome))
		}
	}
	if len(outcomes) > maxListedOutcomes {
		return countOutcomes(outcomes)
	}
	return strings.Join(outcomes, ", ")
}

// String returns the cell with its seed, outcomes, duration and violations.
func (r Result) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s seed %d: outcomes %s, %s", r.Cell.Name(), r.Cell.Seed, r.Outcomes, r.Took.Round(time.Millisecond))
	if r.Propagation > 0 {
		fmt.Fprintf(&text, ", in force after %s", r.Propagation.Round(time.Millisecond))
	}
	if r.Err != nil {
		fmt.Fprintf(&text, "\n  not completed: %v", r.Err)
	}
	for _, v := range r.Violations {
		fmt.Fprintf(&text, "\n  %s", v)
	}
	return text.String()
}
