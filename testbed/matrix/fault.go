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
	// faultDuration is how long a fault lasts unless the subject ends first. It
	// is longer than every timeout after which the system gives up a connection
	// or a grant (3 s for a silent stream).
	faultDuration = 5 * time.Second
	// faultAftermath is how long a cleared fault may still have effects, for
	// example on a connection that was just given up.
	faultAftermath = 5 * time.Second
	// stopTimeout is how long a planned stop may take, including responses in
	// progress.
	stopTimeout = 60 * time.Second
)

// fault is an injected fault.
type fault struct {
	kind     FaultKind
	location location
	record   history.Fault
}

// inject injects a fault. A planned stop is only started; clear waits for its
// end.
func inject(ctx context.Context, kind FaultKind, loc location) (*fault, error) {
	f := &fault{kind: kind, location: loc, record: history.Fault{Kind: string(kind), Process: loc.process(kind).Name, At: time.Now()}}
	if err := f.start(ctx); err != nil {
		return nil, errors.Wrapf(err, "inject %s at %s", kind, f.record.Process)
	}
	return f, nil
}

func (f *fault) start(ctx context.Context) error {
	process := f.location.process(f.kind)
	switch f.kind {
	case KillEntry, KillAgent, KillEngine, KillService:
		return process.Kill()
	case PauseEntry, PauseAgent, PauseEngine:
		return process.Pause()
	case StopEntry, StopAgent, DrainVM:
		return f.startStop(ctx)
	case Straggler, Stall, CutStream, StaleLoad:
		return f.location.backend().Server.SetEngineKnobs(ctx, engineFaults(f.kind))
	case PlatformDown, PlatformSlow, LostResponse, ListLags:
		return f.location.harness.fleet.Platform.UpdateKnobs(ctx, platformFaults(f.kind))
	case CutResponse:
		return f.location.harness.setServiceKnobs(ctx, plain.Knobs{SlowMS: int(serviceDelay.Milliseconds()), DropResponses: 1})
	}
	return f.startConnectionFault()
}

// startConnectionFault injects a fault into the connections between entries and the agent.
func (f *fault) startConnectionFault() error {
	proxy := f.location.proxy()
	switch f.kind {
	case Cut:
		return proxy.CloseConnections()
	case Refuse:
		proxy.Refuse()
	case Silent:
		proxy.Blackhole(faultproxy.Upstream, faultproxy.Downstream)
	case SilentUp:
		proxy.Blackhole(faultproxy.Upstream)
	case SilentDown:
		proxy.Blackhole(faultproxy.Downstream)
	case Delay:
		proxy.Delay(constantDelay, constantDelay)
	case Reorder:
		proxy.Delay(0, maxRandomDelay)
	default:
		return errors.Errorf("unknown fault kind %q", f.kind)
	}
	return nil
}

// clear ends the fault and records it in the history, with faultAftermath added to
// its end. For a planned stop it waits for the end of the stop and records that.
func (f *fault) clear(ctx context.Context) error {
	if f.kind.isPlannedStop() {
		return f.finishStop(ctx)
	}
	err := f.end(ctx)
	f.record.Cleared = time.Now().Add(faultAftermath)
	f.location.harness.recorder.Fault(f.record)
	if err != nil {
		return errors.Wrapf(err, "clear %s at %s", f.kind, f.record.Process)
	}
	return nil
}

func (f *fault) end(ctx context.Context) error {
	process := f.location.process(f.kind)
	switch f.kind {
	case KillEntry, KillAgent, KillEngine, KillService:
		return process.Restart(ctx)
	case PauseEntry, PauseAgent, PauseEngine:
		return process.Resume()
	case Straggler, Stall, CutStream, StaleLoad:
		return f.location.backend().Server.SetEngineKnobs(ctx, healthyEngine)
	case PlatformDown, PlatformSlow, LostResponse, ListLags:
		return f.location.harness.fleet.Platform.UpdateKnobs(ctx, clearPlatformFaults)
	case CutResponse:
		return f.location.harness.setServiceKnobs(ctx, plain.Knobs{})
	case Refuse:
		return f.location.proxy().Accept()
	case Delay, Reorder:
		f.location.proxy().Delay(0, 0)
	}
	return nil
}
