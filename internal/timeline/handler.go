package timeline

import (
	"encoding/json"
	"net/http"
)

// Paths of the two handlers.
const (
	// PathEvents serves one process's events to the system's processes.
	PathEvents = "/internal/v1/timeline"
	// PathView serves the events of the whole fleet to operators.
	PathView = "/admin/v1/timeline"
)

// Handler answers GET PathEvents?since=5m&request=ID&limit=1000 with a Page.
// It checks no key; whoever mounts it does.
func Handler(ring *Ring) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		filter, err := ParseFilter(r.URL.Query())
		if err != nil {
			refuse(w, err)
			return
		}
		answer(w, http.StatusOK, ring.Select(filter))
	})
}

// ViewHandler answers GET PathView, with the parameters of Handler, with a
// View of the local ring and of the peers, which it asks with the system's
// key. It checks no key of the operator's; whoever mounts it does.
func ViewHandler(local *Ring, peers func() []Peer, key string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		filter, err := ParseFilter(r.URL.Query())
		if err != nil {
			refuse(w, err)
			return
		}
		view := Gather(r.Context(), without(peers(), local.Process()), key, filter)
		own := local.Select(filter)
		view.Events = Merge(view.Events, own.Events)
		view.Truncated = view.Truncated || own.Truncated
		view.Answered++
		answer(w, http.StatusOK, view)
	})
}

// without leaves the named process out.
func without(peers []Peer, process string) []Peer {
	kept := make([]Peer, 0, len(peers))
	for _, peer := range peers {
		if peer.Process != process {
			kept = append(kept, peer)
		}
	}
	return kept
}

// problem is the body of a refused question.
type problem struct {
	Error problemDetail `json:"error"`
}

type problemDetail struct {
	Type    string `json:"type"`
	Message string `json:"message"`
}

func refuse(w http.ResponseWriter, err error) {
	answer(w, http.StatusBadRequest, problem{Error: problemDetail{Type: "invalid_request", Message: err.Error()}})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that went away needs no answer.
	_ = json.NewEncoder(w).Encode(body)
}
