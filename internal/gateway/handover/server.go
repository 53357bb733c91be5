package handover

import (
	"net/http"

	"github.com/fxamacker/cbor/v2"
	"github.com/julienschmidt/httprouter"

	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/follow"
)

const (
	// statePath is where a gateway hands over its state, targetsPath the desired state
	// alone, and changesPath what changed in the list of backend servers after the
	// position that is named.
	statePath   = "/state"
	targetsPath = "/targets"
	changesPath = "/changes/"
	positionArg = "position"
	// mostTargets bounds a desired state in bytes that is handed to who could ask the
	// store: dozens ask the few gateways that know of a new one first, over links that
	// callers' answers share, and the store's link is made for that.
	mostTargets = 128 << 10
)

// Changes is what changed in the list of backend servers after a position; false if
// not all of it is known.
type Changes func(after follow.Position) ([]follow.Step[backend.Info], bool)

// contentType is CBOR's (RFC 8949).
const contentType = "application/cbor"

// Routes hands what state and changes return to other gateways.
func Routes(state func() State, changes Changes) http.Handler {
	routes := httprouter.New()
	routes.GET(statePath, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		write(w, state())
	})
	routes.GET(targetsPath, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		all := state()
		if len(all.Document) > mostTargets {
			http.Error(w, "the desired state is to be had from the store", http.StatusRequestEntityTooLarge)
			return
		}
		write(w, State{Version: all.Version, Document: all.Document})
	})
	routes.GET(changesPath+":"+positionArg, func(w http.ResponseWriter, _ *http.Request, args httprouter.Params) {
		after, err := follow.ParsePosition(args.ByName(positionArg))
		if err != nil {
			http.Error(w, "position: "+err.Error(), http.StatusBadRequest)
			return
		}
		steps, known := changes(after)
		if !known {
			http.Error(w, "changes after the position aren't all known", http.StatusGone)
			return
		}
		write(w, steps)
	})
	return routes
}

func write(w http.ResponseWriter, what any) {
	body, err := cbor.Marshal(what)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", contentType)
	// Who asks and leaves asks again.
	_, _ = w.Write(body)
}
