// Package plain is a stand-in for a plain service. It accepts any call and records
// those it executes. Server is the main type.
package plain

import (
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/applepier/applepier/testbed/knobs"
	"github.com/applepier/applepier/testbed/recordfile"
)

// maxBodyBytes is the maximum request body size in bytes.
const maxBodyBytes = 16 << 20

// Server is the stand-in service; it implements http.Handler.
type Server struct {
	mux   *http.ServeMux
	knobs knobs.Value[Knobs]

	mu    sync.Mutex
	calls []Call
	file  *recordfile.File // nil without a record file
}

// New returns a service without faults or record file.
func New() *Server {
	s := &Server{mux: http.NewServeMux(), calls: []Call{}}
	s.mux.HandleFunc("/", s.handleCall)
	s.mux.HandleFunc("GET /record", s.handleRecord)
	s.mux.Handle("GET /knobs", &s.knobs)
	s.mux.Handle("PUT /knobs", &s.knobs)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Response returns the body with which the service responds to a call.
func Response(method, path string, body []byte) string {
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%s %s\n%s", method, path, body)
	return fmt.Sprintf("docket %016x\n", hash.Sum64())
}

func (s *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	k := s.knobs.Get()
	if k.FailStatus != 0 {
		http.Error(w, "injected failure", k.FailStatus)
		return
	}
	if err := s.recordCall(r); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	time.Sleep(time.Duration(k.SlowMS) * time.Millisecond)
	if s.takeDroppedResponse() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = io.WriteString(w, Response(r.Method, r.URL.RequestURI(), body))
}

func (s *Server) handleRecord(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	knobs.WriteJSON(w, s.calls)
}

// recordCall records an executed call.
func (s *Server) recordCall(r *http.Request) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	call := newCall(r, time.Now())
	s.calls = append(s.calls, call)
	return s.file.Write(call)
}

// takeDroppedResponse reports whether to drop this call's response, and if so counts
// Knobs.DropResponses down.
func (s *Server) takeDroppedResponse() bool {
	drop := false
	s.knobs.Update(func(k *Knobs) {
		if k.DropResponses > 0 {
			k.DropResponses--
			drop = true
		}
	})
	return drop
}
