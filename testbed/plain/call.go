package plain

import (
	"net/http"
	"strings"
	"time"
)

// Call records one executed call.
type Call struct {
	// Run is the run ID, REQUEST#ATTEMPT; Request is the part before "#".
	Run     string `json:"run"`
	Request string `json:"request"`
	// Method and Path are the call's HTTP method and request URI.
	Method string `json:"method"`
	Path   string `json:"path"`
	// At is the time of execution.
	At time.Time `json:"at"`
}

func newCall(r *http.Request, at time.Time) Call {
	run := r.Header.Get("X-Request-Id")
	request, _, _ := strings.Cut(run, "#")
	return Call{Run: run, Request: request, Method: r.Method, Path: r.URL.RequestURI(), At: at}
}
