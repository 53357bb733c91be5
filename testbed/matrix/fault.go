package matrix

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/testbed/faultproxy"
	"github.com/applepier/applepier/testbed/history"
	"github.com/applepier/applepier/testbed/plain"
)

const (
	// faultSpan is how long a fault lasts when the subject has no end before:
	// longer than every bound after which the product gives a connection or a
	// grant up (3 s for a silent stream).
	faultSpan = 5 * time.Second
	// aftermath is how long a lifted fault may still show, for example in a
	// connection that was given up a moment ago.
	aftermath = 5 * time.Second
	// stopLimit is how long a planned stop may take, answers in progress
	// included.
	stopLimit = 60 * time.Second
)

// fault is a fault in force.
type fault struct {
	kind  Kind
	place place
	note  history.Fault
}

// strike brings a fault about. Planned stops only begin; lift sees them end.
func strike(ctx context.Context, kind Kind, at place) (*fault, error) {
	f := &fault{kind: kind, place: at, note: history.Fault{Kind: string(kind), Process: at.process(kind).Name, At: time.Now()}}
	if err := f.begin(ctx); err != nil {
		return nil, errors.Wrapf(err, "fault %s at %s", kind, f.note.Process)
	}
	return f, nil
}

func (f *fault) begin(ctx context.Context) error {
	process := f.place.process(f.kind)
	switch f.kind {
	case KillEntry, KillAgent, KillEngine, KillService:
		return process.Kill()
	case PauseEntry, PauseAgent, PauseEngine:
		return process.Stop()
	case StopEntry, StopAgent, LeaveVM:
		return f.beginStop(ctx)
	case Straggler, Stall, CutStream, StaleLoad:
		return f.place.backend().Server.SetEngineKnobs(ctx, engineKnobs(f.kind))
	case PlatformDown, PlatformSlow, LostAnswer, ListLags:
		return f.place.rig.fleet.Platform.UpdateKnobs(ctx, platformKnobs(f.kind))
	case CutAnswer:
		return f.place.rig.setServices(ctx, plain.Knobs{SlowMS: int(serviceSlowness.Milliseconds()), CutAnswers: 1})
	}
	return f.beginWire()
}

// beginWire brings about the faults of the connections before the agent.
func (f *fault) beginWire() error {
	proxy := f.place.proxy()
	switch f.kind {
	case Cut:
		return proxy.Cut()
	case Refuse:
		proxy.Refuse()
	case Silent:
		proxy.Silence(faultproxy.Upstream, faultproxy.Downstream)
	case SilentUp:
		proxy.Silence(faultproxy.Upstream)
	case SilentDown:
		proxy.Silence(faultproxy.Downstream)
	case Delay:
		proxy.Delay(constantDelay, constantDelay)
	case Reorder:
		proxy.Delay(0, widestDelay)
	default:
		return errors.Errorf("unknown kind %s", f.kind)
	}
	return nil
}

// lift ends the fault and notes it.
func (f *fault) lift(ctx context.Context) error {
	if f.kind.planned() {
		return f.endStop(ctx)
	}
	err := f.end(ctx)
	f.note.Lifted = time.Now().Add(aftermath)
	f.place.rig.recorder.Fault(f.note)
	if err != nil {
		return errors.Wrapf(err, "lift %s at %s", f.kind, f.note.Process)
	}
	return nil
}

func (f *fault) end(ctx context.Context) error {
	process := f.place.process(f.kind)
	switch f.kind {
	case KillEntry, KillAgent, KillEngine, KillService:
		return process.Restart(ctx)
	case PauseEntry, PauseAgent, PauseEngine:
		return process.Continue()
	case Straggler, Stall, CutStream, StaleLoad:
		return f.place.backend().Server.SetEngineKnobs(ctx, healthyEngine)
	case PlatformDown, PlatformSlow, LostAnswer, ListLags:
		return f.place.rig.fleet.Platform.UpdateKnobs(ctx, healPlatform)
	case CutAnswer:
		return f.place.rig.setServices(ctx, plain.Knobs{})
	case Refuse:
		return f.place.proxy().Accept()
	case Delay, Reorder:
		f.place.proxy().Delay(0, 0)
	}
	return nil
}
