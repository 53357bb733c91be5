package fleet_test

import (
	"testing"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/testbed/fleet"
)

// Guards against a panic of a whole run where a step restarts a process while the run ends.
func TestProcessIsNotStartedAfterClose(t *testing.T) {
	group := fleet.NewProcessGroup(t.TempDir())
	process := group.NewProcess("p", func() string { return "127.0.0.1:1" }, "true")
	group.Close()
	if err := process.Restart(t.Context()); !errors.Is(err, fleet.ErrClosed) {
		t.Errorf("restart after Close: %v, want ErrClosed", err)
	}
}
