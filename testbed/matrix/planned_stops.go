package matrix

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/pause"
	"github.com/applepier/applepier/testbed/history"
)

// StepUnderLoad is the step of planned stops and of a draining VM: long streams
// run through every entry.
const StepUnderLoad Step = "under-load"

// DrainListed marks a VM as draining on the platform's list and stops no process.
const DrainListed FaultKind = "leave-listed"

// StopFaults lists the planned stops, alone and in pairs.
var StopFaults = [][]FaultKind{
	{StopEntry}, {StopAgent}, {DrainVM}, {StopEntry, StopEntry},
	{StopEntry, StopAgent}, {StopEntry, DrainVM}, {StopAgent, DrainVM},
}

// DrainingFaults lists the ways in which a VM is ordered to drain, some together
// with a fault that delays the notification.
var DrainingFaults = [][]FaultKind{
	{DrainListed}, {DrainListed, Silent}, {DrainListed, SilentDown}, {DrainListed, PauseEntry},
	{DrainVM, PlatformDown}, {DrainVM, ListLags}, {DrainVM, Silent}, {DrainVM, SilentDown},
}

const (
	// longStreamCount is the number of long streams, and longStreamTokens their length.
	// They run for a few seconds, longer than the notice that an entry gives
	// before it stops.
	longStreamCount  = 4
	longStreamTokens = 350
	// extraObservation is how long a cell continues after drainingLimit.
	extraObservation = 3 * time.Second
)

// runStopCell runs a cell that stops processes while long streams run.
func (h *harness) runStopCell(ctx context.Context, c Cell) error {
	loc := location{harness: h, entry: h.fleet.Entries[0], agent: h.rng.IntN(engineCount)}
	if err := h.startLongStreams(ctx); err != nil {
		return err
	}
	var faults []*fault
	for i, kind := range c.Faults {
		f, err := inject(ctx, kind, loc.offset(i))
		if err != nil {
			return err
		}
		faults = append(faults, f)
	}
	for _, f := range faults {
		if err := f.clear(ctx); err != nil {
			return err
		}
	}
	h.calls.Wait()
	return nil
}

// startLongStreams starts the long streams and waits until an engine has started
// each of them.
func (h *harness) startLongStreams(ctx context.Context) error {
	var markers []string
	for n := range longStreamCount {
		request := callerRequest{class: classSummary, marker: h.newMarker("long"), tokens: longStreamTokens, customer: customerLarge}
		markers = append(markers, request.marker)
		h.calls.Go(func() { h.call(ctx, request, h.fleet.Entries[n%entryCount]) })
	}
	waitCtx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	for _, marker := range markers {
		started := func() bool {
			_, err := h.engineOf(marker)
			return err == nil
		}
		if !pollUntil(waitCtx, started) {
			return errors.Errorf("no engine started stream %s within %s", marker, stepTimeout)
		}
	}
	return nil
}

// runDrainingCell runs a cell in which a VM is draining, and continues past drainingLimit so
// that new work on that VM is seen.
func (h *harness) runDrainingCell(ctx context.Context, c Cell) error {
	loc := location{harness: h, entry: h.fleet.Entries[0], agent: h.rng.IntN(engineCount)}
	if err := h.startLongStreams(ctx); err != nil {
		return err
	}
	var faults []*fault
	for _, kind := range reversed(c.Faults) {
		if kind == DrainListed {
			vm := loc.backend().VM.Name
			h.recorder.Drain(history.Drain{Server: vm, At: time.Now(), Limit: drainingLimit})
			if err := h.fleet.Platform.MarkDraining(ctx, vm); err != nil {
				return err
			}
			continue
		}
		f, err := inject(ctx, kind, loc)
		if err != nil {
			return err
		}
		faults = append(faults, f)
	}
	// A fixed wait is needed here: the check is that no work starts during it.
	pause.Sleep(ctx, drainingLimit+extraObservation)
	for _, f := range faults {
		if err := f.clear(ctx); err != nil {
			return err
		}
	}
	h.calls.Wait()
	return nil
}

// reversed returns the kinds in reverse order, so that a fault that delays the
// notification is injected before the VM is marked as draining.
func reversed(kinds []FaultKind) []FaultKind {
	result := make([]FaultKind, 0, len(kinds))
	for i := range kinds {
		result = append(result, kinds[len(kinds)-1-i])
	}
	return result
}
