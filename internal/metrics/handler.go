package metrics

import (
	"io"
	"net/http"

	"github.com/julienschmidt/httprouter"
)

// Paths that Register answers.
const (
	// PathMetrics serves the metrics in Prometheus' text format.
	PathMetrics = "/metrics"
	// PathHealth answers 200 as long as the process answers at all.
	PathHealth = "/healthz"
	// PathReady answers 200 when the process takes new work, else 503.
	PathReady = "/readyz"
)

const (
	headerContentType = "Content-Type"
	typeMetrics       = "text/plain; version=0.0.4; charset=utf-8"
	typeText          = "text/plain; charset=utf-8"
)

// Register adds the three paths to a router.
func Register(router *httprouter.Router, m *Metrics, ready Readiness) {
	router.HandlerFunc(http.MethodGet, PathMetrics, m.Serve)
	router.HandlerFunc(http.MethodGet, PathHealth, ServeHealth)
	router.HandlerFunc(http.MethodGet, PathReady, ready.Serve)
}

// Serve answers with the metrics in Prometheus' text format.
func (m *Metrics) Serve(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(headerContentType, typeMetrics)
	m.refresh()
	// A collector that went away needs no answer, so errors end the writing.
	if err := writeText(w, m.registry); err != nil {
		return
	}
	_, _ = io.WriteString(w, processText())
}

// ServeHealth answers 200 as long as the process answers at all.
func ServeHealth(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(headerContentType, typeText)
	_, _ = io.WriteString(w, "ok\n")
}

// Serve answers 200 and "ready", or 503 and the reason.
func (r Readiness) Serve(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(headerContentType, typeText)
	if err := r(); err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "not ready: "+err.Error()+"\n")
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}
