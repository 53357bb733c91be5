package handover

import (
	"net/http"

	"github.com/fxamacker/cbor/v2"
	"github.com/julienschmidt/httprouter"

	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/follow"
)

const (
	// statePath serves the complete state, desiredStatePath the desired state alone, and
	// serverChangesPath the changes of the list of backend servers after the position in the
	// path.
	statePath         = "/state"
	desiredStatePath  = "/targets"
	serverChangesPath = "/server-changes/"
	// legacyChangesPath serves the same to gateways of earlier releases. Their own responses at this
	// path lack the servers' software versions, so it isn't requested any more.
	legacyChangesPath = "/changes/"
	positionParam     = "position"
	// maxDesiredStateBytes bounds the document served at desiredStatePath, in bytes. Dozens of
	// gateways request a new version from the few that received it first, over links shared
	// with responses to callers. The store's link is sized for such transfers, and the
	// gateways that request the document can also read it from the store.
	maxDesiredStateBytes = 128 << 10
)

// ChangesSince returns the changes of the list of backend servers after a position; false if
// not all of them are known. After position 0 it returns the complete list.
type ChangesSince func(after follow.Position) ([]follow.Delta[backend.Info], bool)

// cborContentType is the media type of CBOR (RFC 8949).
const cborContentType = "application/cbor"

// NewHandler returns a handler that serves the results of getState and changesSince to other
// gateways.
func NewHandler(getState func() State, changesSince ChangesSince) http.Handler {
	router := httprouter.New()
	router.GET(statePath, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		writeCBOR(w, getState())
	})
	router.GET(desiredStatePath, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		current := getState()
		if len(current.Document) > maxDesiredStateBytes {
			http.Error(w, "desired state is too large; read it from the store", http.StatusRequestEntityTooLarge)
			return
		}
		writeCBOR(w, State{Version: current.Version, Document: current.Document})
	})
	serveChanges := func(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
		after, err := follow.ParsePosition(params.ByName(positionParam))
		if err != nil {
			http.Error(w, "position: "+err.Error(), http.StatusBadRequest)
			return
		}
		deltas, complete := changesSince(after)
		if !complete {
			http.Error(w, "not all changes after the position are known", http.StatusGone)
			return
		}
		writeCBOR(w, deltas)
	}
	router.GET(serverChangesPath+":"+positionParam, serveChanges)
	router.GET(legacyChangesPath+":"+positionParam, serveChanges)
	return router
}

func writeCBOR(w http.ResponseWriter, value any) {
	body, err := cbor.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", cborContentType)
	// A write error is ignored: a gateway that was disconnected repeats its request.
	_, _ = w.Write(body)
}
