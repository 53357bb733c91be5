package metrics

import (
	"io"
	"net/http"

	"github.com/julienschmidt/httprouter"
)

// Paths that Register serves.
const (
	// PathMetrics serves the metrics in the Prometheus text format.
	PathMetrics = "/metrics"
	// PathHealth returns 200 as long as the process responds at all.
	PathHealth = "/healthz"
	// PathReady returns 200 if the process accepts new work, otherwise 503.
	PathReady = "/readyz"
)

const (
	headerContentType  = "Content-Type"
	contentTypeMetrics = "text/plain; version=0.0.4; charset=utf-8"
	contentTypeText    = "text/plain; charset=utf-8"
)

// Register adds handlers for PathMetrics, PathHealth and PathReady to the router.
func Register(router *httprouter.Router, m *Metrics, ready Readiness) {
	router.HandlerFunc(http.MethodGet, PathMetrics, m.Serve)
	router.HandlerFunc(http.MethodGet, PathHealth, ServeHealth)
	router.HandlerFunc(http.MethodGet, PathReady, ready.Serve)
}

// Serve writes the metrics in the Prometheus text format.
func (m *Metrics) Serve(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(headerContentType, contentTypeMetrics)
	m.runScrapeHooks()
	// A write error means that the collector disconnected.
	if err := writeText(w, m.registry); err != nil {
		return
	}
	_, _ = io.WriteString(w, formatProcessMetrics())
}

// ServeHealth always responds with 200.
func ServeHealth(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(headerContentType, contentTypeText)
	_, _ = io.WriteString(w, "ok\n")
}

// Serve responds with 200 and "ready", or with 503 and the reason.
func (r Readiness) Serve(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(headerContentType, contentTypeText)
	if err := r(); err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "not ready: "+err.Error()+"\n")
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}
