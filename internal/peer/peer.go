// Package peer implements the plain HTTP endpoints through which processes exchange
// state. A process that starts while the platform is down gets the newest targets
// and the VM list from its peers. Start reading at State.
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

// ErrUnreachable means that no peer returned the requested data: the request
// failed, was rejected, or its response could not be decoded.
var ErrUnreachable = errors.New("no peer returned the requested data")

// StatePath is the URL path at which a process serves its State.
const StatePath = "/internal/v1/state"

const (
	// stateTimeout bounds a State request to one peer.
	stateTimeout = 2 * time.Second
	// maxResponseBytes bounds the response body that is read from a peer.
	maxResponseBytes = 16 << 20
)

// State holds the targets and the VM list that a process knows.
type State struct {
	// Process is the name of the process that serves the State.
	Process string `json:"process"`
	// Targets is the newest target set that the process has.
	Targets *targets.Set `json:"targets"`
	// VMs is the last VM list that the process read; empty if it has read none.
	VMs []storage.VM `json:"vms"`
}

// StateHandler serves the State of this process as JSON.
func StateHandler(state func() State) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(state())
	}
}

// FetchState reads the State of the process at addr (host:port). Failures to get or
// decode a response are ErrUnreachable.
func FetchState(ctx context.Context, addr, systemKey string) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	var s State
	err := getJSON(ctx, "http://"+addr+StatePath, systemKey, &s)
	return s, err
}

// FetchFromAll reads the State of all peers, one after the other, and offers their
// targets to cache, which keeps the newest. It returns the first VM list that is
// not empty, or ErrUnreachable if no peer has one.
func FetchFromAll(ctx context.Context, addrs []string, systemKey string, cache *targets.Cache) ([]storage.VM, error) {
	var vms []storage.VM
	for _, addr := range addrs {
		s, err := FetchState(ctx, addr, systemKey)
		if err != nil {
			continue
		}
		cache.UpdateIfNewer(s.Targets)
		if len(vms) == 0 {
			vms = s.VMs
		}
	}
	if len(vms) == 0 {
		return nil, ErrUnreachable
	}
	return vms, nil
}
