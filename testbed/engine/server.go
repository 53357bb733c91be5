// Package engine is a stand-in of a model's engine in one process: it batches
// continuously, honours priorities, caches prompt prefixes, resumes and
// cancels streams, reports load with a lag and keeps a record of every run,
// with faults that a test turns on. Its answers are made up but follow from
// the request; see Answer. Start reading at Server.
package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/engine"
	"github.com/applepier/applepier/testbed/knobs"
)

// thawCheck is how often a frozen engine looks whether it still is.
const thawCheck = 2 * time.Millisecond

// Causes of a run's end.
var (
	errCancelled = errors.New("run was cancelled")
	errCrashed   = errors.New("engine crashed")
)

// Server is the stand-in; it implements http.Handler.
type Server struct {
	config  Config
	mux     *http.ServeMux
	knobs   knobs.Box[Knobs]
	slots   slots
	cache   *prefixCache
	journal *journal
	orders  orders
	load    *reporter
}

// New returns an engine without faults. Close frees what it holds.
func New(config Config) (*Server, error) {
	config = config.withDefaults()
	journal, err := newJournal(config.RecordFile)
	if err != nil {
		return nil, err
	}
	s := &Server{
		config:  config,
		mux:     http.NewServeMux(),
		cache:   newPrefixCache(config.CacheBlocks),
		journal: journal,
	}
	s.orders.models = []string{config.Model}
	s.knobs.Update(func(k *Knobs) { k.IgnoreFences = config.IgnoreFences })
	s.slots.setLimit(config.MaxStreams)
	s.load = newReporter(config.LoadLag, s.measureLoad)
	s.routes()
	return s, nil
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Close ends all runs and frees what the engine holds.
func (s *Server) Close() {
	s.journal.cancel("", errCrashed)
	s.load.close()
	s.journal.close()
}

// SetKnobs changes the faults as PUT /knobs does.
func (s *Server) SetKnobs(change func(*Knobs)) {
	s.knobs.Update(change)
	s.applyKnobs()
}

// Record returns the record of all runs.
func (s *Server) Record() []Record {
	return s.journal.snapshot()
}

func (s *Server) routes() {
	s.mux.HandleFunc("POST /v1/chat/completions", s.available(s.completions))
	s.mux.HandleFunc("GET /v1/models", s.available(s.getModels))
	s.mux.HandleFunc("GET /runs", s.available(s.getRuns))
	s.mux.HandleFunc("POST /runs/{id}/cancel", s.available(s.cancelRun))
	s.mux.HandleFunc("GET /load", s.available(s.getLoad))
	s.mux.HandleFunc("POST /orders", s.available(s.takeOrder))
	s.mux.HandleFunc("GET /orders", s.getOrders)
	s.mux.HandleFunc("GET /record", s.getRecord)
	s.mux.Handle("GET /knobs", &s.knobs)
	s.mux.HandleFunc("PUT /knobs", s.putKnobs)
}

// available holds a call while the engine is frozen and cuts it off while the
// engine has crashed.
func (s *Server) available(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := s.awaitThaw(r.Context()); err != nil {
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
	for _, name := range s.orders.loaded() {
		list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: "testbed"})
	}
	knobs.WriteJSON(w, list)
}

func (s *Server) getRuns(w http.ResponseWriter, _ *http.Request) {
	knobs.WriteJSON(w, engine.RunList{Runs: s.journal.inProgress()})
}

func (s *Server) cancelRun(w http.ResponseWriter, r *http.Request) {
	if id := r.PathValue("id"); id != "" {
		s.journal.cancel(id, errCancelled)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getLoad(w http.ResponseWriter, _ *http.Request) {
	knobs.WriteJSON(w, s.load.last())
}

func (s *Server) takeOrder(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.orders.take(order, s.knobs.Get().IgnoreFences); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getOrders(w http.ResponseWriter, _ *http.Request) {
	knobs.WriteJSON(w, s.orders.list())
}

func (s *Server) getRecord(w http.ResponseWriter, _ *http.Request) {
	knobs.WriteJSON(w, s.Record())
}

func (s *Server) putKnobs(w http.ResponseWriter, r *http.Request) {
	s.knobs.ServeHTTP(w, r)
	s.applyKnobs()
}

// applyKnobs puts into effect what is not looked up at each step.
func (s *Server) applyKnobs() {
	k := s.knobs.Get()
	s.slots.setLimit(max(s.config.MaxStreams-k.Foreign, 0))
	if k.Crashed {
		s.crash()
	}
}

// crash cuts all streams and loses the cache.
func (s *Server) crash() {
	if s.knobs.Get().Exit && s.config.Exit != nil {
		s.config.Exit()
	}
	s.cache.clear()
	s.journal.cancel("", errCrashed)
}

func (s *Server) measureLoad() engine.Load {
	running, waiting := s.slots.counts()
	return engine.Load{Running: running + s.knobs.Get().Foreign, Waiting: waiting, At: time.Now()}
}
