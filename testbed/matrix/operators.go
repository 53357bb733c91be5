package matrix

import (
	"context"

	"github.com/sourcegraph/conc/pool"
)

// Faults of the subject targets alone.
const (
	// TwoOperators: another operator changes targets at the same time.
	TwoOperators Kind = "two-operators"
	// FreshEntry: an entry VM starts while the fault beside it is in force.
	FreshEntry Kind = "fresh-entry"
)

// TargetFaults lists what hits each step of a change of targets.
var TargetFaults = [][]Kind{
	{KillEntry}, {KillAgent}, {PauseEntry}, {PauseAgent}, {Cut}, {Silent}, {SilentUp}, {SilentDown},
	{Delay}, {PlatformDown}, {PlatformSlow}, {LostAnswer}, {TwoOperators},
	{PlatformDown, FreshEntry}, {KillEntry, PlatformDown}, {PlatformDown, KillAgent}, {StopEntry},
}

// strikeList brings several faults about at once.
func (r *rig) strikeList(ctx context.Context, kinds []Kind, at place) ([]*fault, error) {
	var faults []*fault
	for _, kind := range kinds {
		switch kind {
		case TwoOperators:
			if err := r.operateTogether(ctx); err != nil {
				return faults, err
			}
		case FreshEntry:
		default:
			f, err := strike(ctx, kind, at)
			if err != nil {
				return faults, err
			}
			faults = append(faults, f)
		}
	}
	return faults, nil
}

// operateTogether has two operators change classes at two entries at once.
func (r *rig) operateTogether(ctx context.Context) error {
	operators := pool.New().WithContext(ctx)
	for i, class := range []string{classNote, classDocket} {
		operators.Go(func(ctx context.Context) error {
			for range changesByOperator {
				if err := r.operate(ctx, class, i, r.fleet.Entries[i]); err != nil {
					return err
				}
			}
			return nil
		})
	}
	return operators.Wait()
}

// freshDuring starts a fresh entry while the cell's other fault is in force,
// and looks at what targets it learns.
func (r *rig) freshDuring(ctx context.Context, c Cell) error {
	for _, kind := range c.Faults {
		if kind != FreshEntry {
			continue
		}
		entry, err := r.fleet.AddEntry(ctx)
		if err != nil {
			return err
		}
		stop := r.watchOne(ctx, source{entry.Name, entry.Targets})
		r.awaitSpread(ctx)
		stop()
	}
	return nil
}

// watchOne is watchVersions for one process.
func (r *rig) watchOne(ctx context.Context, s source) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.watchVersion(ctx, s)
	}()
	return func() {
		cancel()
		<-done
	}
}
