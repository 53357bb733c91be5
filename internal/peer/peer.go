// Package peer is what the system's processes tell each other over plain
// HTTP: a process that starts while the platform is down learns the newest
// targets and the VM list from another. Start reading at State.
package peer

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/storage"
	"github.com/applepier/applepier/internal/targets"
)

// ErrUnreachable: no peer answered with what was asked for.
var ErrUnreachable = errors.New("no peer answered with what was asked for")

// StatePath is where a process tells its State.
const StatePath = "/internal/v1/state"

const (
	// askTimeout bounds the question to one peer.
	askTimeout = 2 * time.Second
	// maxState bounds a State in bytes.
	maxState = 16 << 20
)

// State is what a process knows of the fleet.
type State struct {
	// Process is who tells.
	Process string `json:"process"`
	// Targets is the newest Set it has.
	Targets *targets.Set `json:"targets"`
	// VMs is the last VM list it read; empty when it never read one.
	VMs []storage.VM `json:"vms"`
}

// Handler tells the State of this process.
func Handler(state func() State) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(state())
	}
}

// Ask reads the State of the process at addr (host:port).
func Ask(ctx context.Context, addr, systemKey string) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var s State
	err := ask(ctx, "http://"+addr+StatePath, systemKey, &s)
	return s, err
}

// AskAny asks peers in turn, takes the newest targets into holder, and returns
// the first VM list that one of them has; ErrUnreachable when none has one.
func AskAny(ctx context.Context, addrs []string, systemKey string, holder *targets.Holder) ([]storage.VM, error) {
	var vms []storage.VM
	for _, addr := range addrs {
		s, err := Ask(ctx, addr, systemKey)
		if err != nil {
			continue
		}
		holder.Offer(s.Targets)
		if len(vms) == 0 {
			vms = s.VMs
		}
	}
	if len(vms) == 0 {
		return nil, ErrUnreachable
	}
	return vms, nil
}
