package handover

import (
	"net/http"

	"github.com/fxamacker/cbor/v2"
)

// path is where a gateway hands over its state.
const path = "/state"

// contentType is CBOR's (RFC 8949).
const contentType = "application/cbor"

// Server hands this gateway's state to others. It implements http.Handler.
type Server struct {
	// State returns what this gateway knows.
	State func() State
}

// ServeHTTP implements http.Handler.
func (s Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || r.URL.Path != path {
		http.NotFound(w, r)
		return
	}
	body, err := cbor.Marshal(s.State())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", contentType)
	// Who asks and leaves asks again.
	_, _ = w.Write(body)
}
