package baseline

import (
	"net"
	"net/http"
	"strings"

	"github.com/go-faster/errors"
)

// Names of the baselines.
const (
	RoundRobin = "roundrobin"
	LeastLoad  = "leastload"
)

// Names lists the baselines.
func Names() []string {
	return []string{RoundRobin, LeastLoad}
}

// New returns the router of a name before engines at their base URLs.
// Capacity is how many streams an engine runs at full speed.
func New(name string, engines []string, capacity int) (*Router, error) {
	if len(engines) == 0 || capacity <= 0 {
		return nil, errors.New("a baseline needs engines and their capacity")
	}
	switch name {
	case RoundRobin:
		return &Router{picker: newRoundRobin(engines, capacity)}, nil
	case LeastLoad:
		return &Router{picker: newLeastLoad(engines)}, nil
	default:
		return nil, errors.Errorf("no baseline %q among %s", name, strings.Join(Names(), ", "))
	}
}

// Server is a router that listens on a port of 127.0.0.1.
type Server struct {
	// URL is its base URL.
	URL string

	router *Router
	server *http.Server
	done   chan struct{}
}

// Start runs the router of a name; see New.
func Start(name string, engines []string, capacity int) (*Server, error) {
	router, err := New(name, engines, capacity)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		router.Close()
		return nil, errors.Wrap(err, "listen")
	}
	s := &Server{
		URL:    "http://" + listener.Addr().String(),
		router: router,
		server: &http.Server{Handler: router},
		done:   make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		_ = s.server.Serve(listener)
	}()
	return s, nil
}

// Close ends the router and all that it has in progress.
func (s *Server) Close() {
	_ = s.server.Close()
	<-s.done
	s.router.Close()
}
