package fleet

import (
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"strconv"
	"sync"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/engine"
	"github.com/applepier/applepier/internal/settings"
	standin "github.com/applepier/applepier/testbed/engine"
	"github.com/applepier/applepier/testbed/plain"
)

// Server is the process of a backend server: a stand-in engine or plain service.
type Server struct {
	*Process
	// URL is the server's base URL.
	URL string
	// Spec describes the server.
	Spec BackendSpec

	mu          sync.Mutex
	recordFiles []string // record files, oldest first; an engine has one per instance
}

func (f *Fleet) newServer(name string, spec BackendSpec) (*Server, error) {
	addr, err := f.newAddr()
	if err != nil {
		return nil, err
	}
	s := &Server{URL: "http://" + addr, Spec: spec}
	callsFile := filepath.Join(f.dir, name+".calls")
	s.Process = f.newProcess(name, addr, f.options.Binaries.StandIn, "service", "--listen", addr, "--record-file", callsFile)
	if spec.Kind == settings.BackendService {
		s.recordFiles = []string{callsFile}
	}
	if spec.Kind == settings.BackendEngine {
		s.argsForInstance = func(number int) []string { return s.engineArgs(f.dir, number) }
	}
	return s, nil
}

// engineArgs returns the arguments for one instance of an engine. Each instance
// has its own record file, since its run numbers start at 1.
func (s *Server) engineArgs(dir string, number int) []string {
	record := filepath.Join(dir, fmt.Sprintf("%s-%d.runs", s.Name, number))
	s.mu.Lock()
	s.recordFiles = append(s.recordFiles, record)
	s.mu.Unlock()
	args := []string{
		"engine", "--listen", s.Addr, "--model", s.Spec.Serves, "--record-file", record,
		"--capacity", strconv.Itoa(s.Spec.Capacity),
		"--interval-ms", strconv.FormatInt(s.Spec.TokenInterval.Milliseconds(), 10),
	}
	if s.Spec.PrefillPerToken > 0 {
		args = append(args, "--prefill-us-per-token", strconv.FormatInt(s.Spec.PrefillPerToken.Microseconds(), 10))
	}
	if s.Spec.LoadReportInterval > 0 {
		args = append(args, "--load-lag-ms", strconv.FormatInt(s.Spec.LoadReportInterval.Milliseconds(), 10))
	}
	if s.Spec.IgnoreFencingTokens {
		args = append(args, "--ignore-fences")
	}
	if s.Spec.SoftwareVersion != "" {
		args = append(args, "--software", s.Spec.SoftwareVersion)
	}
	return args
}

// Runs returns an engine's records of all runs, including those before a restart.
func (s *Server) Runs() ([]standin.RunRecord, error) {
	s.mu.Lock()
	files := append([]string(nil), s.recordFiles...)
	s.mu.Unlock()
	var all []standin.RunRecord
	for _, file := range files {
		records, err := standin.ReadRecordFile(file)
		if err != nil {
			return nil, errors.Wrapf(err, "read records of runs of %s", s.Name)
		}
		all = append(all, records...)
	}
	return all, nil
}

// Calls returns the calls that a plain service executed, including those
// before a restart.
func (s *Server) Calls() ([]plain.Call, error) {
	var all []plain.Call
	for _, file := range s.recordFiles {
		calls, err := plain.ReadRecordFile(file)
		if err != nil {
			return nil, errors.Wrapf(err, "read records of calls of %s", s.Name)
		}
		all = append(all, calls...)
	}
	return all, nil
}

// Orders returns the orders that an engine has executed.
func (s *Server) Orders(ctx context.Context) ([]engine.Order, error) {
	var orders []engine.Order
	_, err := call{method: http.MethodGet, url: s.URL + "/orders", response: &orders}.do(ctx)
	return orders, err
}

// SetEngineKnobs replaces the fault settings of an engine.
func (s *Server) SetEngineKnobs(ctx context.Context, knobs standin.Knobs) error {
	_, err := call{method: http.MethodPut, url: s.URL + "/knobs", body: knobs}.do(ctx)
	return err
}

// SetServiceKnobs replaces the fault settings of a plain service.
func (s *Server) SetServiceKnobs(ctx context.Context, knobs plain.Knobs) error {
	_, err := call{method: http.MethodPut, url: s.URL + "/knobs", body: knobs}.do(ctx)
	return err
}
