// Package platform is an in-memory stand-in for the platform: a transactional
// table, an object store and a VM list, with faults that a test can switch on.
// Server is the main type.
package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/applepier/applepier/internal/storage"
	"github.com/applepier/applepier/testbed/knobs"
)

const (
	// defaultWritesPerSecond and defaultReadsPerSecond are the default
	// rate limits. The platform's stated limits are "several hundred" writes
	// and "about two thousand" reads per second.
	defaultWritesPerSecond = 400
	defaultReadsPerSecond  = 2000
	// maxBodyBytes is the maximum request body size in bytes.
	maxBodyBytes = 64 << 20
)

// Server is the stand-in platform; it implements http.Handler.
type Server struct {
	router http.Handler
	knobs  knobs.Value[Knobs]
	table  table
	vms    vmList

	// mu guards the fields below; it is never held together with another lock.
	mu      sync.Mutex
	objects map[string][]byte
	stats   Stats
	reads   limiter
	writes  limiter
}

// New returns an empty platform without faults.
func New() *Server {
	s := &Server{objects: map[string][]byte{}}
	s.table.rows = map[string]storage.Row{}
	s.vms.current = map[string]storage.VM{}
	s.knobs.Update(func(k *Knobs) {
		k.WritesPerSecond = defaultWritesPerSecond
		k.ReadsPerSecond = defaultReadsPerSecond
	})
	s.router = s.routes()
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	s.router.ServeHTTP(w, r)
}

// Stats returns the request counters.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

func (s *Server) routes() http.Handler {
	router := httprouter.New()
	router.RedirectTrailingSlash = false
	router.RedirectFixedPath = false
	router.HandlerFunc(http.MethodGet, "/table/row", s.limitRead(s.getRow))
	router.HandlerFunc(http.MethodGet, "/table/rows", s.limitRead(s.listRows))
	router.HandlerFunc(http.MethodPost, "/table/commit", s.limitWrite(s.commit))
	router.HandlerFunc(http.MethodGet, "/objects/*key", s.limitRead(s.getObject))
	router.HandlerFunc(http.MethodPut, "/objects/*key", s.limitWrite(s.putObject))
	router.HandlerFunc(http.MethodGet, "/vms", s.limitRead(s.listVMs))
	router.PUT("/vms/:name", s.putVM)
	router.DELETE("/vms/:name", s.deleteVM)
	router.POST("/vms/:name/leaving", s.markDraining)
	router.Handler(http.MethodGet, "/knobs", &s.knobs)
	router.Handler(http.MethodPut, "/knobs", &s.knobs)
	router.HandlerFunc(http.MethodGet, "/stats", s.getStats)
	return router
}

func (s *Server) getRow(w http.ResponseWriter, r *http.Request) {
	row, ok := s.table.get(r.URL.Query().Get("key"))
	if !ok {
		http.Error(w, "no such row", http.StatusNotFound)
		return
	}
	knobs.WriteJSON(w, row)
}

func (s *Server) listRows(w http.ResponseWriter, r *http.Request) {
	knobs.WriteJSON(w, s.table.list(r.URL.Query().Get("prefix")))
}

func (s *Server) commit(body []byte, _ *http.Request) int {
	var tx storage.Transaction
	if err := json.Unmarshal(body, &tx); err != nil {
		return http.StatusBadRequest
	}
	if !s.table.commit(tx.Writes) {
		s.updateStats(func(stats *Stats) { stats.Conflicts++ })
		return http.StatusConflict
	}
	s.updateStats(func(stats *Stats) { stats.RowsWritten += len(tx.Writes) })
	return http.StatusNoContent
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	value, ok := s.objects[r.URL.Path]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	_, _ = w.Write(value)
}

func (s *Server) putObject(body []byte, r *http.Request) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[r.URL.Path] = body
	return http.StatusNoContent
}

// listVMs writes the VM list, or status 304 if the request's ETag is current.
func (s *Server) listVMs(w http.ResponseWriter, r *http.Request) {
	k := s.knobs.Get()
	if k.ListDown {
		http.Error(w, "VM list is down", http.StatusServiceUnavailable)
		return
	}
	delay := time.Duration(k.ListLagMS) * time.Millisecond
	version := s.vms.asOf(time.Now().Add(-delay))
	etag := version.etag()
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	knobs.WriteJSON(w, version.vms)
}

func (s *Server) putVM(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	var vm storage.VM
	if err := json.NewDecoder(r.Body).Decode(&vm); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	vm.Name = params.ByName("name")
	s.vms.put(vm, time.Now())
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) deleteVM(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	s.vms.remove(params.ByName("name"), time.Now())
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) markDraining(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	if !s.vms.markDraining(params.ByName("name"), time.Now()) {
		http.Error(w, "no such VM", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getStats(w http.ResponseWriter, _ *http.Request) {
	knobs.WriteJSON(w, s.Stats())
}

func (s *Server) updateStats(update func(*Stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update(&s.stats)
}

// readBody reads the complete request body. Writes take effect only afterwards, so
// a request whose connection breaks midway has no effect.
func readBody(r *http.Request) ([]byte, error) {
	return io.ReadAll(r.Body)
}
