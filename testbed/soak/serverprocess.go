package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/applepier/applepier/testbed/fleet"
	"github.com/applepier/applepier/testbed/ports"
)

// serverSlots is the number of concurrent requests that a server advertises.
const serverSlots = 16

// serverProcess is a backend server process with the proxy in front of it.
type serverProcess struct {
	*fleet.Process
	name, dir, program      string
	listenAddr, controlAddr string
	arrivalsFile            string
	proxy                   *proxy
	programs                *fleet.ProcessGroup
	store                   *storeProcess
	startCount              int
	// direct has gateways connect to the process itself instead of the proxy, so that its address
	// refuses connections when it has crashed.
	direct bool
	// version is the software version of the current instance.
	version string
	// startedAt is when it was started, and entryCount how many entries were written.
	startedAt  time.Time
	entryCount int
	// lifecycle is held while the process is stopped or started, or its script
	// is changed.
	lifecycle sync.Mutex
}

// newServer creates a server's proxy without starting the process.
func newServer(programs *fleet.ProcessGroup, dir, program, name, version string, store *storeProcess) (*serverProcess, error) {
	s := &serverProcess{name: name, version: version, dir: dir, program: program, programs: programs, store: store, arrivalsFile: filepath.Join(dir, name+".arrivals")}
	for _, addr := range []*string{&s.listenAddr, &s.controlAddr} {
		var err error
		if *addr, err = ports.Reserve(); err != nil {
			return nil, err
		}
	}
	var err error
	s.proxy, err = newProxy(s.listenAddr, [directionCount]*link{})
	return s, err
}

// instance returns the name of the current instance, which is new after each
// startInstance.
func (s *serverProcess) instance() string {
	return fmt.Sprintf("%s%s%d", s.name, instanceSeparator, s.startCount)
}

// startInstance starts the server as a new instance and registers it in the store.
func (s *serverProcess) startInstance(ctx context.Context) error {
	s.startCount++
	s.Process = s.programs.NewProcess(s.instance(), func() string { return s.listenAddr }, s.program,
		"server", "--listen", s.listenAddr, "--control", s.controlAddr, "--instance", s.instance(), "--software", s.version, "--record", s.arrivalsFile)
	if err := s.Restart(ctx); err != nil {
		return err
	}
	s.startedAt = time.Now()
	return s.list(ctx, "ready")
}

// list writes the entry of the current instance to the store, with a state such as
// ready or draining.
func (s *serverProcess) list(ctx context.Context, state string) error {
	s.entryCount++
	addr := s.proxy.addr()
	if s.direct {
		addr = s.listenAddr
	}
	entry, err := json.Marshal(map[string]any{
		"service": "plain", "addr": addr, "zone": "z", "version": s.version, "slots": serverSlots,
		"state": state, "seq": s.entryCount, "warmup-left-ms": 0, "born": s.startedAt.UnixMilli(),
	})
	if err != nil {
		return err
	}
	return s.store.put(ctx, "servers", s.instance(), entry)
}

// setScript changes the server's behavior to one of scriptNames.
func (s *serverProcess) setScript(ctx context.Context, name string) error {
	_, err := doRequest(ctx, http.MethodPost, "http://"+s.controlAddr+pathScript+"?name="+url.QueryEscape(name), nil)
	return err
}

// arrivals reads the requests that the server recorded.
func (s *serverProcess) arrivals() ([]Arrival, error) {
	file, err := os.Open(s.arrivalsFile)
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
