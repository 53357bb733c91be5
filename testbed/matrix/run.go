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

// cellLimit bounds one cell.
const cellLimit = 4 * time.Minute

// logLines is how much of each log a failed cell keeps.
const logLines = 60

// Result is what became of a cell.
type Result struct {
	Cell Cell
	// Violations are the promises that were broken.
	Violations []history.Violation
	// Err says why the cell could not be run to its end.
	Err error
	// Told is what the subject's caller was told, in order.
	Told string
	// Logs are the processes' last lines, of a cell that did not hold.
	Logs string
	// Spread is the longest time until a change of targets was in force.
	Spread time.Duration
	Took   time.Duration
}

// First is the first broken promise, empty when there is none.
func (r Result) First() string {
	if len(r.Violations) == 0 {
		return ""
	}
	return r.Violations[0].String()
}

// Faults names the cell's faults.
func (r Result) Faults() string { return r.Cell.faultNames() }

// Holds reports whether the cell ran and broke no promise.
func (r Result) Holds() bool { return r.Err == nil && len(r.Violations) == 0 }

// Run runs one cell on a fleet of its own.
func Run(ctx context.Context, binaries *fleet.Binaries, c Cell) Result {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, cellLimit)
	defer cancel()
	result := Result{Cell: c}
	rig, err := newRig(ctx, binaries, c)
	if err != nil {
		result.Err = errors.Wrap(err, "start")
		return result
	}
	defer rig.close()
	result.Err = rig.play(ctx, c)
	result.judge(rig)
	result.Took = time.Since(start)
	return result
}

// play runs the cell under load and checks afterwards that all is served.
func (r *rig) play(ctx context.Context, c Cell) error {
	stop := r.startBackground(ctx)
	err := r.subjectCell(ctx, c)
	if err == nil {
		r.probe(ctx)
	}
	stop()
	r.calls.Wait()
	return err
}

func (r *rig) subjectCell(ctx context.Context, c Cell) error {
	switch c.Subject {
	case SubjectDocket, SubjectSummary:
		return r.requestCell(ctx, c)
	case SubjectTargets:
		return r.targetsCell(ctx, c)
	case SubjectStop:
		return r.stopCell(ctx, c)
	case SubjectService:
		return r.serviceCell(ctx, c)
	case SubjectLease:
		return r.leaseCell(ctx, c)
	case SubjectBurst:
		return r.burstCell(ctx, c)
	case SubjectLeaving:
		return r.leavingCell(ctx, c)
	}
	return errors.Errorf("unknown subject %s", c.Subject)
}

func (r *Result) judge(rig *rig) {
	h, err := rig.collect()
	if err != nil {
		r.Err = errors.Join(r.Err, err)
		return
	}
	r.Violations = history.Check(h)
	r.Told = toldOf(h, r.Cell)
	r.Spread = spreadOf(h)
	if !r.Holds() {
		var logs strings.Builder
		rig.fleet.WriteLogs(&logs, logLines)
		r.Logs = logs.String()
	}
}

// toldShown is how many ends are listed one by one.
const toldShown = 12

// countTold counts the ends of many calls.
func countTold(told []string) string {
	counts := map[string]int{}
	for _, t := range told {
		counts[t]++
	}
	var parts []string
	for _, t := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[t], t))
	}
	return strings.Join(parts, ", ")
}

// toldOf lists what the subject's caller was told.
func toldOf(h history.History, c Cell) string {
	var told []string
	for _, call := range h.Calls {
		subject := call.Class == string(c.Subject) || (c.Subject == SubjectService && call.Class == classService)
		if subject && !strings.HasPrefix(call.Marker, "probe") {
			told = append(told, string(call.Told))
		}
	}
	if len(told) > toldShown {
		return countTold(told)
	}
	return strings.Join(told, ", ")
}

func (r Result) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s seed %d: told %s, %s", r.Cell.Name(), r.Cell.Seed, r.Told, r.Took.Round(time.Millisecond))
	if r.Spread > 0 {
		fmt.Fprintf(&text, ", in force after %s", r.Spread.Round(time.Millisecond))
	}
	if r.Err != nil {
		fmt.Fprintf(&text, "\n  not run to its end: %v", r.Err)
	}
	for _, v := range r.Violations {
		fmt.Fprintf(&text, "\n  %s", v)
	}
	return text.String()
}
