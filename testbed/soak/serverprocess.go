package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/applepier/applepier/testbed/fleet"
	"github.com/applepier/applepier/testbed/ports"
)

// serverSlots is how many requests a server works on at once, as it says.
const serverSlots = 16

// serverProcess is a backend server and the path to it.
type serverProcess struct {
	*fleet.Process
	name, dir, program string
	listen, control    string
	record             string
	path               *proxy
	programs           *fleet.Programs
	store              *storeProcess
	starts             int
	// life is held by whoever stops or starts the process, or tells it a
	// script.
	life sync.Mutex
}

func newServer(programs *fleet.Programs, dir, program, name string, store *storeProcess) (*serverProcess, error) {
	s := &serverProcess{name: name, dir: dir, program: program, programs: programs, store: store, record: filepath.Join(dir, name+".arrivals")}
	for _, addr := range []*string{&s.listen, &s.control} {
		var err error
		if *addr, err = ports.Free(); err != nil {
			return nil, err
		}
	}
	var err error
	s.path, err = newProxy(s.listen, [directions]*link{})
	return s, err
}

func (s *serverProcess) instance() string {
	return fmt.Sprintf("%s%s%d", s.name, instanceMark, s.starts)
}

// begin starts the server as a new one and lists it.
func (s *serverProcess) begin(ctx context.Context) error {
	s.starts++
	s.Process = s.programs.New(s.instance(), func() string { return s.listen }, s.program,
		"server", "--listen", s.listen, "--control", s.control, "--instance", s.instance(), "--record", s.record)
	if err := s.Restart(ctx); err != nil {
		return err
	}
	entry, err := json.Marshal(map[string]any{
		"service": "plain", "addr": s.path.addr(), "zone": "z", "version": "v1", "slots": serverSlots,
		"state": "ready", "seq": 1, "warmup-left-ms": 0, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		return err
	}
	return s.store.put(ctx, "servers", s.instance(), entry)
}

// follow has the server follow a script.
func (s *serverProcess) follow(ctx context.Context, name string) error {
	_, err := do(ctx, http.MethodPost, "http://"+s.control+pathScript+"?name="+name, nil)
	return err
}

// arrivals reads what reached the server.
func (s *serverProcess) arrivals() ([]Arrival, error) {
	file, err := os.Open(s.record)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	var all []Arrival
	for lines := json.NewDecoder(file); lines.More(); {
		var a Arrival
		if err := lines.Decode(&a); err != nil {
			return nil, err
		}
		all = append(all, a)
	}
	return all, nil
}
