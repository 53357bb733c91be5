package handover

import (
	"net/http"

	"github.com/fxamacker/cbor/v2"
	"github.com/julienschmidt/httprouter"
)

// path is where a gateway hands over its state.
const path = "/state"

// contentType is CBOR's (RFC 8949).
const contentType = "application/cbor"

// Routes hands what state returns to other gateways.
func Routes(state func() State) http.Handler {
	routes := httprouter.New()
	routes.GET(path, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		body, err := cbor.Marshal(state())
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", contentType)
		// Who asks and leaves asks again.
		_, _ = w.Write(body)
	})
	return routes
}
