package plain

import (
	"net/http"
	"strings"
	"time"
)

// Call records one call that took effect.
type Call struct {
	// Run is the run's id; Request is its part before the attempt.
	Run     string `json:"run"`
	Request string `json:"request"`
	// Method and Path are the call's.
	Method string `json:"method"`
	Path   string `json:"path"`
	// At is when it took effect.
	At time.Time `json:"at"`
}

func newCall(r *http.Request, at time.Time) Call {
	run := r.Header.Get("X-Request-Id")
	request, _, _ := strings.Cut(run, "#")
	return Call{Run: run, Request: request, Method: r.Method, Path: r.URL.RequestURI(), At: at}
}
