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
	// StepWriteLost is reached when the write has taken effect and its response
	// is lost.
	StepWriteLost Step = "written-answer-lost"
	StepAccepted  Step = "accepted"
	// StepSpreading is reached when the new targets are on their way to an agent.
	StepSpreading Step = "spreading"
)

const (
	// changeLimit is how long an accepted change may take until it is in force at
	// every process.
	changeLimit = 14 * time.Second
	// changesPerOperator is the number of changes that each of two operators makes.
	changesPerOperator = 4
	// versionOffset plus the version of a change is the completion target, in
	// seconds, that the change sets; changesIn reads the version from it. The
	// offset is far above the duration of any request.
	versionOffset = 10000
	// operatorTimeout bounds an operator's attempts to make one change.
	operatorTimeout = 40 * time.Second
)

// runTargetsCell runs a cell whose subject is a change of targets.
func (h *harness) runTargetsCell(ctx context.Context, c Cell) error {
	stop := h.watchVersions(ctx)
	defer stop()
	loc := location{harness: h, entry: h.fleet.Entries[0], agent: h.rng.IntN(engineCount)}
	var faults []*fault
	injectFaults := func() (err error) {
		faults, err = h.injectAll(ctx, c.Faults, loc)
		return err
	}
	clearFaults := func() error {
		for _, f := range faults {
			if err := f.clear(ctx); err != nil {
				return err
			}
		}
		faults = nil
		return nil
	}
	if err := h.changeAtStep(ctx, c.Step, loc, injectFaults, clearFaults); err != nil {
		return err
	}
	if err := h.startFreshEntry(ctx, c); err != nil {
		return err
	}
	h.awaitPropagation(ctx)
	if err := clearFaults(); err != nil {
		return err
	}
	h.awaitPropagation(ctx)
	return nil
}

// changeAtStep makes a change and calls injectFaults when the change has reached the
// step. If the faults keep the change from being accepted, it calls clearFaults after
// faultDuration.
func (h *harness) changeAtStep(ctx context.Context, step Step, loc location, injectFaults, clearFaults func() error) error {
	switch step {
	case StepBeforeWrite:
		if err := injectFaults(); err != nil {
			return err
		}
		return awaitChange(h.changeInBackground(ctx, loc), clearFaults)
	case StepWriteLost:
		lose := func(k *platform.Knobs) { k.DropResponses = 1 }
		if err := h.fleet.Platform.UpdateKnobs(ctx, lose); err != nil {
			return err
		}
		changed := h.changeInBackground(ctx, loc)
		if !pollUntil(ctx, func() bool { return h.lostResponses(ctx) > 0 }) {
			return errors.New("no write lost its response")
		}
		if err := injectFaults(); err != nil {
			return err
		}
		return awaitChange(changed, clearFaults)
	case StepAccepted:
		if err := h.changeClass(ctx, classSummary, 1, loc.entry); err != nil {
			return err
		}
		return injectFaults()
	case StepSpreading:
		hold := h.proxies[loc.agent].Hold(faultproxy.Upstream, faultproxy.IsTargetSet)
		defer hold.Release()
		if err := h.changeClass(ctx, classSummary, 1, loc.entry); err != nil {
			return err
		}
		if _, err := hold.Wait(ctx); err != nil {
			return err
		}
		return injectFaults()
	}
	return errors.Errorf("unknown step %s", step)
}

// changeInBackground makes the change concurrently and returns a channel that
// gets its error.
func (h *harness) changeInBackground(ctx context.Context, loc location) <-chan error {
	changed := make(chan error, 1)
	go func() { changed <- h.changeClass(ctx, classSummary, 1, loc.entry) }()
	return changed
}

// awaitChange waits for the change. If it is not accepted within faultDuration, it
// calls clearFaults and waits on.
func awaitChange(changed <-chan error, clearFaults func() error) error {
	select {
	case err := <-changed:
		return err
	case <-time.After(faultDuration):
	}
	if err := clearFaults(); err != nil {
		return err
	}
	return <-changed
}

// lostResponses returns the number of responses that the platform has lost, or 0
// if it can't be read.
func (h *harness) lostResponses(ctx context.Context) int {
	stats, err := h.fleet.Platform.Stats(ctx)
	if err != nil {
		return 0
	}
	return stats.DroppedResponses
}

// changeClass changes a class as an operator does: after a conflict, an outage or
// an unknown outcome it reads the targets again and retries until its change is
// accepted, through the entries in turn. It returns nil also if nothing was
// accepted within operatorTimeout, as during an outage; no change is recorded then.
// A 400 response is returned as an error. The operator's number makes its changes
// differ from those of other operators.
func (h *harness) changeClass(ctx context.Context, class string, operator int, entry *fleet.Entry) error {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	for n := 0; ctx.Err() == nil; n++ {
		base, err := h.fleet.Platform.Targets(ctx)
		if err == nil {
			completion := time.Duration(versionOffset+base.Version+1)*time.Second + time.Duration(operator)*time.Millisecond
			version, err := entry.SetCompletionTarget(ctx, class, base.Version, completion)
			if err == nil {
				h.recorder.Change(history.Change{Version: version, Class: class, Accepted: time.Now(), Limit: changeLimit})
				return nil
			}
			if refused, ok := errors.Into[*fleet.StatusError](err); ok && refused.StatusCode == http.StatusBadRequest {
				return err
			}
			entry = h.fleet.Entries[(operator+n)%len(h.fleet.Entries)]
		}
		h.waitPollInterval(ctx, nil)
	}
	return nil
}

// changesIn returns the version of the change that each class in the set holds, read
// from its completion target.
func changesIn(set *targets.Set) map[string]uint64 {
	versions := map[string]uint64{}
	for _, class := range set.Classes {
		if seconds := uint64(class.Completion / time.Second); seconds > versionOffset {
			versions[class.Name] = seconds - versionOffset
		}
	}
	return versions
}
