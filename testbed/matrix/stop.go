package matrix

import (
	"context"
	"time"

	"github.com/applepier/applepier/testbed/fleet"
	"github.com/applepier/applepier/testbed/history"
)

// leavingLimit is the number of seconds after which a leaving backend server
// gets no new work: the agent reads the VM list every 5 s, the platform's
// answer may take some time more, and grants given before may be taken up for
// a second.
const leavingLimit = 8 * time.Second

// beginStop starts a planned stop.
func (f *fault) beginStop(ctx context.Context) error {
	rig := f.place.rig
	if f.kind == LeaveVM {
		vm := f.place.backend().VM.Name
		rig.recorder.Leaving(history.Leaving{Server: vm, At: time.Now(), Limit: leavingLimit})
		if err := rig.fleet.Platform.MarkLeaving(ctx, vm); err != nil {
			return err
		}
	}
	if f.kind == StopEntry {
		rig.shut(f.place.entry)
	}
	return f.place.process(f.kind).BeginTerminate()
}

// endStop waits for the stop's end, and starts the process again unless its
// VM leaves, as a replaced VM's would be.
func (f *fault) endStop(ctx context.Context) error {
	process := f.place.process(f.kind)
	f.noteStop(ctx, process)
	if f.kind == LeaveVM {
		server := f.place.backend().Server.Process
		if err := server.BeginTerminate(); err != nil {
			return err
		}
		f.noteStop(ctx, server)
		return nil
	}
	if err := process.Restart(ctx); err != nil {
		return err
	}
	if f.kind == StopEntry {
		f.place.rig.open(f.place.entry)
	}
	return nil
}

func (f *fault) noteStop(ctx context.Context, process *fleet.Process) {
	ctx, cancel := context.WithTimeout(ctx, stopLimit)
	defer cancel()
	stop := history.Stop{Process: process.Name, At: f.note.At, Clean: true}
	if err := process.AwaitEnd(ctx); err != nil {
		stop.Clean, stop.Detail = false, err.Error()
	}
	f.place.rig.recorder.Stop(stop)
}
