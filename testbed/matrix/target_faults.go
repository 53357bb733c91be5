package matrix

import (
	"context"

	"github.com/sourcegraph/conc/pool"
)

// Faults that apply to a change of targets only.
const (
	// TwoOperators makes two other operators change targets concurrently.
	TwoOperators FaultKind = "two-operators"
	// FreshEntry starts an entry VM while the cell's other fault is in force.
	FreshEntry FaultKind = "fresh-entry"
)

// TargetFaults lists the faults, alone and in pairs, that are injected at each
// step of a change of targets.
var TargetFaults = [][]FaultKind{
	{KillEntry}, {KillAgent}, {PauseEntry}, {PauseAgent}, {Cut}, {Silent}, {SilentUp}, {SilentDown},
	{Delay}, {PlatformDown}, {PlatformSlow}, {LostResponse}, {TwoOperators},
	{PlatformDown, FreshEntry}, {KillEntry, PlatformDown}, {PlatformDown, KillAgent}, {StopEntry},
}

// injectAll injects the faults of a change of targets and returns those that must
// be cleared. If it returns an error, it also returns the faults injected before.
func (h *harness) injectAll(ctx context.Context, kinds []FaultKind, loc location) ([]*fault, error) {
	var faults []*fault
	for _, kind := range kinds {
		switch kind {
		case TwoOperators:
			if err := h.changeConcurrently(ctx); err != nil {
				return faults, err
			}
		case FreshEntry:
			// startFreshEntry starts the entry after the change.
		default:
			f, err := inject(ctx, kind, loc)
			if err != nil {
				return faults, err
			}
			faults = append(faults, f)
		}
	}
	return faults, nil
}

// changeConcurrently makes two operators change different classes through
// different entries at the same time.
func (h *harness) changeConcurrently(ctx context.Context) error {
	operators := pool.New().WithContext(ctx)
	for i, class := range []string{classNote, classDocket} {
		operators.Go(func(ctx context.Context) error {
			for range changesPerOperator {
				if err := h.changeClass(ctx, class, i, h.fleet.Entries[i]); err != nil {
					return err
				}
			}
			return nil
		})
	}
	return operators.Wait()
}

// startFreshEntry starts an entry while the cell's other fault is in force and
// records the targets that it learns. It does nothing in cells without FreshEntry.
func (h *harness) startFreshEntry(ctx context.Context, c Cell) error {
	for _, kind := range c.Faults {
		if kind != FreshEntry {
			continue
		}
		entry, err := h.fleet.AddEntry(ctx)
		if err != nil {
			return err
		}
		stop := h.watchProcess(ctx, targetsSource{entry.Name, entry.Targets})
		h.awaitPropagation(ctx)
		stop()
	}
	return nil
}

// watchProcess records the targets in force at one process until stop is called.
func (h *harness) watchProcess(ctx context.Context, s targetsSource) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.watchVersion(ctx, s)
	}()
	return func() {
		cancel()
		<-done
	}
}
