// Package plain is a stand-in of a plain service, which takes any call and
// keeps a record of each. Start reading at Server.
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

// maxBody bounds a request, in bytes.
const maxBody = 16 << 20

// Server is the stand-in; it implements http.Handler.
type Server struct {
	mux   *http.ServeMux
	knobs knobs.Box[Knobs]

	mu    sync.Mutex
	calls []Call
	file  *recordfile.File // nil without a record file
}

// New returns a service without faults.
func New() *Server {
	s := &Server{mux: http.NewServeMux(), calls: []Call{}}
	s.mux.HandleFunc("/", s.call)
	s.mux.HandleFunc("GET /record", s.record)
	s.mux.Handle("GET /knobs", &s.knobs)
	s.mux.Handle("PUT /knobs", &s.knobs)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Answer is what the service answers to a call.
func Answer(method, path string, body []byte) string {
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%s %s\n%s", method, path, body)
	return fmt.Sprintf("docket %016x\n", hash.Sum64())
}

func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	k := s.knobs.Get()
	if k.FailStatus != 0 {
		http.Error(w, "out of order", k.FailStatus)
		return
	}
	if err := s.note(r); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	time.Sleep(time.Duration(k.SlowMS) * time.Millisecond)
	if s.takeCut() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = io.WriteString(w, Answer(r.Method, r.URL.RequestURI(), body))
}

func (s *Server) record(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	knobs.WriteJSON(w, s.calls)
}

// note records that a call takes effect.
func (s *Server) note(r *http.Request) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	call := newCall(r, time.Now())
	s.calls = append(s.calls, call)
	return s.file.Write(call)
}

func (s *Server) takeCut() bool {
	cut := false
	s.knobs.Update(func(k *Knobs) {
		if k.CutAnswers > 0 {
			k.CutAnswers--
			cut = true
		}
	})
	return cut
}
