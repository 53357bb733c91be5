package matrix

import (
	"context"
	"time"

	"github.com/applepier/applepier/testbed/fleet"
	"github.com/applepier/applepier/testbed/history"
)

// drainingLimit is the time after which a draining backend server gets no new
// work. The agent reads the VM list every 5 s, the platform's response takes
// some time, and earlier grants may be used for 1 s.
const drainingLimit = 8 * time.Second

// startStop starts a planned stop without waiting for its end.
func (f *fault) startStop(ctx context.Context) error {
	h := f.location.harness
	if f.kind == DrainVM {
		vm := f.location.backend().VM.Name
		h.recorder.Drain(history.Drain{Server: vm, At: time.Now(), Limit: drainingLimit})
		if err := h.fleet.Platform.MarkDraining(ctx, vm); err != nil {
			return err
		}
	}
	if f.kind == StopEntry {
		h.drain(f.location.entry)
	}
	return f.location.process(f.kind).SendTerminate()
}

// finishStop waits for the stop's end and restarts the process, as on a replaced VM.
// If the VM is draining, it stops the backend server instead.
func (f *fault) finishStop(ctx context.Context) error {
	process := f.location.process(f.kind)
	f.recordStop(ctx, process)
	if f.kind == DrainVM {
		server := f.location.backend().Server.Process
		if err := server.SendTerminate(); err != nil {
			return err
		}
		f.recordStop(ctx, server)
		return nil
	}
	if err := process.Restart(ctx); err != nil {
		return err
	}
	if f.kind == StopEntry {
		f.location.harness.undrain(f.location.entry)
	}
	return nil
}

// recordStop waits for the process to end and records whether it ended cleanly.
func (f *fault) recordStop(ctx context.Context, process *fleet.Process) {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	stop := history.Stop{Process: process.Name, At: f.record.At, Clean: true}
	if err := process.WaitExit(ctx); err != nil {
		stop.Clean, stop.Detail = false, err.Error()
	}
	f.location.harness.recorder.Stop(stop)
}
