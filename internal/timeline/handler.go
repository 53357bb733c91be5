package timeline

import (
	"encoding/json"
	"net/http"
)

// Paths of the two handlers.
const (
	// PathEvents is the path of Handler, which the system's processes query.
	PathEvents = "/internal/v1/timeline"
	// PathView is the path of ViewHandler, which operators query.
	PathView = "/admin/v1/timeline"
)

// Handler serves GET PathEvents?since=5m&request=ID&limit=1000 with a Page. It
// doesn't authenticate requests; the caller must do so.
func Handler(ring *Ring) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		filter, err := ParseFilter(r.URL.Query())
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, ring.Select(filter))
	})
}

// ViewHandler serves GET PathView with a View of the events of the local ring and of
// all peers. It takes the same query parameters as Handler, and authenticates to the
// peers with key, the system key. It doesn't authenticate operators; the caller must
// do so.
func ViewHandler(local *Ring, peers func() []Peer, key string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		filter, err := ParseFilter(r.URL.Query())
		if err != nil {
			writeError(w, err)
			return
		}
		view := Gather(r.Context(), withoutProcess(peers(), local.Process()), key, filter)
		own := local.Select(filter)
		view.Events = Merge(view.Events, own.Events)
		view.Truncated = view.Truncated || own.Truncated
		view.Responded++
		writeJSON(w, http.StatusOK, view)
	})
}

// withoutProcess returns the peers without those of the named process.
func withoutProcess(peers []Peer, process string) []Peer {
	kept := make([]Peer, 0, len(peers))
	for _, peer := range peers {
		if peer.Process != process {
			kept = append(kept, peer)
		}
	}
	return kept
}

// errorBody is the response body of an invalid query.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Type    string `json:"type"`
	Message string `json:"message"`
}

func writeError(w http.ResponseWriter, err error) {
	writeJSON(w, http.StatusBadRequest, errorBody{Error: errorDetail{Type: "invalid_request", Message: err.Error()}})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the caller disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
