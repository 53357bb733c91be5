package matrix

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/pause"
	"github.com/applepier/applepier/testbed/history"
)

// Steps of planned stops and of a leaving VM.
const (
	// StepUnderLoad: long streams run through every entry and on every
	// engine.
	StepUnderLoad Step = "under-load"
)

// LeaveListed marks a VM as leaving on the platform's list and nothing else.
const LeaveListed Kind = "leave-listed"

// StopFaults lists the planned stops, several at once among them.
var StopFaults = [][]Kind{
	{StopEntry}, {StopAgent}, {LeaveVM}, {StopEntry, StopEntry},
	{StopEntry, StopAgent}, {StopEntry, LeaveVM}, {StopAgent, LeaveVM},
}

// LeavingFaults lists how a VM leaves, and what keeps the news from spreading.
var LeavingFaults = [][]Kind{
	{LeaveListed}, {LeaveListed, Silent}, {LeaveListed, SilentDown}, {LeaveListed, PauseEntry},
	{LeaveVM, PlatformDown}, {LeaveVM, ListLags}, {LeaveVM, Silent}, {LeaveVM, SilentDown},
}

const (
	// longStreams is how many long streams run, and longTokens their length:
	// some seconds, longer than the notice that an entry gives.
	longStreams = 4
	longTokens  = 350
	// lookAfter is how long a cell looks on after the limit of leaving.
	lookAfter = 3 * time.Second
)

// stopCell stops processes while long streams run.
func (r *rig) stopCell(ctx context.Context, c Cell) error {
	at := place{rig: r, entry: r.fleet.Entries[0], agent: r.random.IntN(engineCount)}
	if err := r.runLongStreams(ctx); err != nil {
		return err
	}
	var faults []*fault
	for i, kind := range c.Faults {
		f, err := strike(ctx, kind, at.shifted(i))
		if err != nil {
			return err
		}
		faults = append(faults, f)
	}
	for _, f := range faults {
		if err := f.lift(ctx); err != nil {
			return err
		}
	}
	r.calls.Wait()
	return nil
}

// runLongStreams starts long streams and waits until the engines have begun
// all of them.
func (r *rig) runLongStreams(ctx context.Context) error {
	var markers []string
	for n := range longStreams {
		long := ask{class: classSummary, marker: r.mark("long"), tokens: longTokens, customer: customerLarge}
		markers = append(markers, long.marker)
		r.calls.Go(func() { r.call(ctx, long, r.fleet.Entries[n%entryCount]) })
	}
	limit, cancel := context.WithTimeout(ctx, stepLimit)
	defer cancel()
	for _, marker := range markers {
		begun := func() bool {
			_, err := r.ranAt(marker)
			return err == nil
		}
		if !until(limit, begun) {
			return errors.Errorf("%s has not begun", marker)
		}
	}
	return nil
}

// leavingCell has a VM leave and looks for new work there until well after
// the limit.
func (r *rig) leavingCell(ctx context.Context, c Cell) error {
	at := place{rig: r, entry: r.fleet.Entries[0], agent: r.random.IntN(engineCount)}
	if err := r.runLongStreams(ctx); err != nil {
		return err
	}
	var faults []*fault
	for _, kind := range reversed(c.Faults) {
		if kind == LeaveListed {
			vm := at.backend().VM.Name
			r.recorder.Leaving(history.Leaving{Server: vm, At: time.Now(), Limit: leavingLimit})
			if err := r.fleet.Platform.MarkLeaving(ctx, vm); err != nil {
				return err
			}
			continue
		}
		f, err := strike(ctx, kind, at)
		if err != nil {
			return err
		}
		faults = append(faults, f)
	}
	// Time itself is what is looked at here: nothing may happen in it.
	pause.For(ctx, leavingLimit+lookAfter)
	for _, f := range faults {
		if err := f.lift(ctx); err != nil {
			return err
		}
	}
	r.calls.Wait()
	return nil
}

func reversed(kinds []Kind) []Kind {
	back := make([]Kind, 0, len(kinds))
	for i := range kinds {
		back = append(back, kinds[len(kinds)-1-i])
	}
	return back
}
