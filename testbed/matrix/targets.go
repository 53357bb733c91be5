package matrix

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/targets"
	"github.com/applepier/applepier/testbed/faultproxy"
	"github.com/applepier/applepier/testbed/fleet"
	"github.com/applepier/applepier/testbed/history"
	"github.com/applepier/applepier/testbed/platform"
)

// Steps of a change of targets.
const (
	StepBeforeWrite Step = "before-write"
	// StepWriteLost: the write has taken effect and its answer is lost.
	StepWriteLost Step = "written-answer-lost"
	StepAccepted  Step = "accepted"
	// StepSpreading: the new targets are on their way to the first agent.
	StepSpreading Step = "spreading"
)

const (
	// changeLimit is how long an accepted change may take to be in force in
	// the whole fleet.
	changeLimit = 14 * time.Second
	// changesByOperator is how many changes each of two operators makes.
	changesByOperator = 4
	// versionMark is added to a version and makes a completion target from
	// which a reading tells which change it holds. It is far above what a
	// request takes.
	versionMark = 10000
	// operatorLimit is how long an operator tries.
	operatorLimit = 40 * time.Second
)

// targetsCell runs a cell whose subject is a change of targets.
func (r *rig) targetsCell(ctx context.Context, c Cell) error {
	stop := r.watchVersions(ctx)
	defer stop()
	at := place{rig: r, entry: r.fleet.Entries[0], agent: r.random.IntN(engineCount)}
	var faults []*fault
	begin := func() (err error) {
		faults, err = r.strikeList(ctx, c.Faults, at)
		return err
	}
	lift := func() error {
		for _, f := range faults {
			if err := f.lift(ctx); err != nil {
				return err
			}
		}
		faults = nil
		return nil
	}
	if err := r.changeAt(ctx, c.Step, at, begin, lift); err != nil {
		return err
	}
	if err := r.freshDuring(ctx, c); err != nil {
		return err
	}
	r.awaitSpread(ctx)
	if err := lift(); err != nil {
		return err
	}
	r.awaitSpread(ctx)
	return nil
}

// changeAt makes a change and has begin called when it is at the step. A
// fault that keeps the change from being accepted is lifted after its time.
func (r *rig) changeAt(ctx context.Context, step Step, at place, begin, lift func() error) error {
	switch step {
	case StepBeforeWrite:
		if err := begin(); err != nil {
			return err
		}
		return liftBefore(r.operateAside(ctx, at), lift)
	case StepWriteLost:
		lose := func(k *platform.Knobs) { k.LoseAnswers = 1 }
		if err := r.fleet.Platform.UpdateKnobs(ctx, lose); err != nil {
			return err
		}
		changed := r.operateAside(ctx, at)
		if !until(ctx, func() bool { return r.lostAnswers(ctx) > 0 }) {
			return errors.New("no write lost its answer")
		}
		if err := begin(); err != nil {
			return err
		}
		return liftBefore(changed, lift)
	case StepAccepted:
		if err := r.operate(ctx, classSummary, 1, at.entry); err != nil {
			return err
		}
		return begin()
	case StepSpreading:
		hold := r.proxies[at.agent].Hold(faultproxy.Upstream, faultproxy.NewSet)
		defer hold.Release()
		if err := r.operate(ctx, classSummary, 1, at.entry); err != nil {
			return err
		}
		if _, err := hold.Wait(ctx); err != nil {
			return err
		}
		return begin()
	}
	return errors.Errorf("unknown step %s", step)
}

// operateAside makes the change beside the faults.
func (r *rig) operateAside(ctx context.Context, at place) <-chan error {
	changed := make(chan error, 1)
	go func() { changed <- r.operate(ctx, classSummary, 1, at.entry) }()
	return changed
}

// liftBefore waits for the change, and lifts the faults when they keep it from
// being accepted.
func liftBefore(changed <-chan error, lift func() error) error {
	select {
	case err := <-changed:
		return err
	case <-time.After(faultSpan):
	}
	if err := lift(); err != nil {
		return err
	}
	return <-changed
}

func (r *rig) lostAnswers(ctx context.Context) int {
	stats, err := r.fleet.Platform.Stats(ctx)
	if err != nil {
		return 0
	}
	return stats.Lost
}

// operate changes a class as an operator does: on a conflict, an outage or an
// unknown outcome it reads the targets again and goes on until its change is
// accepted, at another entry if its own is gone. Without success in time, as
// during an outage, nothing is accepted and nothing is to be held.
func (r *rig) operate(ctx context.Context, class string, operator int, entry *fleet.Entry) error {
	ctx, cancel := context.WithTimeout(ctx, operatorLimit)
	defer cancel()
	for n := 0; ctx.Err() == nil; n++ {
		base, err := r.fleet.Platform.Targets(ctx)
		if err == nil {
			mark := time.Duration(versionMark+base.Version+1)*time.Second + time.Duration(operator)*time.Millisecond
			version, err := entry.SetCompletion(ctx, class, base.Version, mark)
			if err == nil {
				r.recorder.Change(history.Change{Version: version, Class: class, Accepted: time.Now(), Limit: changeLimit})
				return nil
			}
			if refused, ok := errors.Into[*fleet.StatusError](err); ok && refused.Status == http.StatusBadRequest {
				return err
			}
			entry = r.fleet.Entries[(operator+n)%len(r.fleet.Entries)]
		}
		r.pause(ctx, nil)
	}
	return nil
}

// heldBy tells from the completion targets which changes a set holds.
func heldBy(set *targets.Set) map[string]uint64 {
	held := map[string]uint64{}
	for _, class := range set.Classes {
		if mark := uint64(class.Completion / time.Second); mark > versionMark {
			held[class.Name] = mark - versionMark
		}
	}
	return held
}
