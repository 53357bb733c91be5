// Package platform is a stand-in of the platform in one process's memory: a
// transactional table, an object store and a list of VMs, with faults that a
// test turns on. Start reading at Server.
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
	// defaultWrites and defaultReads are what the platform is said to take
	// a second: "several hundred" and "about two thousand".
	defaultWrites = 400
	defaultReads  = 2000
	// maxBody bounds a request, in bytes.
	maxBody = 64 << 20
)

// Server is the stand-in; it implements http.Handler.
type Server struct {
	router http.Handler
	knobs  knobs.Box[Knobs]
	table  table
	vms    vmList

	// mu guards what follows; it is never held together with another lock.
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
	s.vms.now = map[string]storage.VM{}
	s.knobs.Update(func(k *Knobs) {
		k.WritesPerSecond = defaultWrites
		k.ReadsPerSecond = defaultReads
	})
	s.router = s.routes()
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBody)
	s.router.ServeHTTP(w, r)
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

func (s *Server) routes() http.Handler {
	router := httprouter.New()
	router.RedirectTrailingSlash = false
	router.RedirectFixedPath = false
	router.HandlerFunc(http.MethodGet, "/table/row", s.read(s.getRow))
	router.HandlerFunc(http.MethodGet, "/table/rows", s.read(s.listRows))
	router.HandlerFunc(http.MethodPost, "/table/commit", s.write(s.commit))
	router.HandlerFunc(http.MethodGet, "/objects/*key", s.read(s.getObject))
	router.HandlerFunc(http.MethodPut, "/objects/*key", s.write(s.putObject))
	router.HandlerFunc(http.MethodGet, "/vms", s.read(s.listVMs))
	router.PUT("/vms/:name", s.putVM)
	router.DELETE("/vms/:name", s.deleteVM)
	router.POST("/vms/:name/leaving", s.markLeaving)
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
		s.count(func(stats *Stats) { stats.Conflicts++ })
		return http.StatusConflict
	}
	s.count(func(stats *Stats) { stats.Rows += len(tx.Writes) })
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

// listVMs answers with the list, or with 304 to a reader that has it.
func (s *Server) listVMs(w http.ResponseWriter, r *http.Request) {
	k := s.knobs.Get()
	if k.ListDown {
		http.Error(w, "VM list is down", http.StatusServiceUnavailable)
		return
	}
	lag := time.Duration(k.ListLagMS) * time.Millisecond
	seen := s.vms.asOf(time.Now().Add(-lag))
	etag := seen.etag()
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	knobs.WriteJSON(w, seen.vms)
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

func (s *Server) markLeaving(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	if !s.vms.markLeaving(params.ByName("name"), time.Now()) {
		http.Error(w, "no such VM", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getStats(w http.ResponseWriter, _ *http.Request) {
	knobs.WriteJSON(w, s.Stats())
}

func (s *Server) count(change func(*Stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.stats)
}

// readBody reads a whole request body before it takes effect, so that a
// request that was cut on its way does nothing.
func readBody(r *http.Request) ([]byte, error) {
	return io.ReadAll(r.Body)
}
