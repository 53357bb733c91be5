// Package engine is a stand-in for an LLM inference engine in tests. It simulates
// continuous batching, priorities, prefix caching, resuming and cancelling
// streams and delayed load reports, and it injects faults. It keeps a record of
// every run. Its responses are generated deterministically from the request; see
// ResponseTokens. The main type is Server.
package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/engine"
	"github.com/applepier/applepier/testbed/knobs"
)

// frozenPollInterval is the interval at which blocked calls check whether the
// engine is still frozen.
const frozenPollInterval = 2 * time.Millisecond

// Cancellation causes of a run's context.
var (
	errCancelled = errors.New("run was cancelled")
	errCrashed   = errors.New("engine crashed")
)

// Server is the stand-in engine. It implements http.Handler and is safe for
// concurrent use.
type Server struct {
	config       Config
	mux          *http.ServeMux
	knobs        knobs.Value[Knobs]
	slots        slots
	cache        *prefixCache
	runs         *runLog
	orders       orderLog
	loadReporter *loadReporter
}

// New returns a server without injected faults. It fails if the record file
// can't be opened. The caller must call Close.
func New(config Config) (*Server, error) {
	config = config.withDefaults()
	runs, err := newRunLog(config.RecordFile)
	if err != nil {
		return nil, err
	}
	s := &Server{
		config: config,
		mux:    http.NewServeMux(),
		cache:  newPrefixCache(config.CacheBlocks),
		runs:   runs,
	}
	s.orders.models = []string{config.Model}
	s.knobs.Update(func(k *Knobs) { k.IgnoreFencingTokens = config.IgnoreFencingTokens })
	s.slots.setLimit(config.MaxStreams)
	s.loadReporter = newLoadReporter(config.LoadReportInterval, s.measureLoad)
	s.registerRoutes()
	return s, nil
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Close cancels all runs, stops the load reports and closes the record file.
func (s *Server) Close() {
	s.runs.cancel("", errCrashed)
	s.loadReporter.close()
	s.runs.close()
}

// SetKnobs changes the injected faults, as PUT /knobs does.
func (s *Server) SetKnobs(change func(*Knobs)) {
	s.knobs.Update(change)
	s.applyKnobs()
}

// Records returns a copy of the records of all runs.
func (s *Server) Records() []RunRecord {
	return s.runs.snapshot()
}

func (s *Server) registerRoutes() {
	s.mux.HandleFunc("POST /v1/chat/completions", s.withAvailability(s.serveCompletion))
	s.mux.HandleFunc("GET /v1/models", s.withAvailability(s.getModels))
	s.mux.HandleFunc("GET /runs", s.withAvailability(s.getRuns))
	s.mux.HandleFunc("POST /runs/{id}/cancel", s.withAvailability(s.cancelRun))
	s.mux.HandleFunc("GET /load", s.withAvailability(s.getLoad))
	s.mux.HandleFunc("POST /orders", s.withAvailability(s.postOrder))
	s.mux.HandleFunc("GET /orders", s.getOrders)
	s.mux.HandleFunc("GET /record", s.getRecord)
	s.mux.Handle("GET /knobs", &s.knobs)
	s.mux.HandleFunc("PUT /knobs", s.putKnobs)
}

// withAvailability wraps a handler: calls block while the engine is frozen, and
// their connection is aborted while it is crashed.
func (s *Server) withAvailability(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := s.waitWhileFrozen(r.Context()); err != nil {
			panic(http.ErrAbortHandler)
		}
		if s.knobs.Get().Crashed {
			panic(http.ErrAbortHandler)
		}
		next(w, r)
	}
}

func (s *Server) getModels(w http.ResponseWriter, _ *http.Request) {
	list := modelList{Object: "list"}
	for _, name := range s.orders.loadedModels() {
		list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: "testbed"})
	}
	knobs.WriteJSON(w, list)
}

func (s *Server) getRuns(w http.ResponseWriter, _ *http.Request) {
	knobs.WriteJSON(w, engine.RunList{Runs: s.runs.activeIDs()})
}

func (s *Server) cancelRun(w http.ResponseWriter, r *http.Request) {
	if id := r.PathValue("id"); id != "" {
		s.runs.cancel(id, errCancelled)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getLoad(w http.ResponseWriter, _ *http.Request) {
	knobs.WriteJSON(w, s.loadReporter.latest())
}

func (s *Server) postOrder(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.orders.execute(order, s.knobs.Get().IgnoreFencingTokens); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getOrders(w http.ResponseWriter, _ *http.Request) {
	knobs.WriteJSON(w, s.orders.list())
}

func (s *Server) getRecord(w http.ResponseWriter, _ *http.Request) {
	knobs.WriteJSON(w, s.Records())
}

func (s *Server) putKnobs(w http.ResponseWriter, r *http.Request) {
	s.knobs.ServeHTTP(w, r)
	s.applyKnobs()
}

// applyKnobs applies the settings that are not read at each step: the limit of
// streams and Crashed.
func (s *Server) applyKnobs() {
	k := s.knobs.Get()
	s.slots.setLimit(max(s.config.MaxStreams-k.ExternalStreams, 0))
	if k.Crashed {
		s.crash()
	}
}

// crash cuts all streams and clears the prefix cache, or ends the process if
// Knobs.Exit and Config.Exit are set.
func (s *Server) crash() {
	if s.knobs.Get().Exit && s.config.Exit != nil {
		s.config.Exit()
	}
	s.cache.clear()
	s.runs.cancel("", errCrashed)
}

// measureLoad returns the current load, including the external streams.
func (s *Server) measureLoad() engine.Load {
	running, waiting := s.slots.counts()
	return engine.Load{Running: running + s.knobs.Get().ExternalStreams, Waiting: waiting, ReportedAt: time.Now(), SoftwareVersion: s.config.SoftwareVersion}
}
