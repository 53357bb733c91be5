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

// Names returns the names of the baselines.
func Names() []string {
	return []string{RoundRobin, LeastLoad}
}

// New returns the named router in front of engines, given by their base URLs.
// Capacity is the number of streams that an engine runs at full speed. It returns an
// error for an unknown name, without engines or for a capacity below 1.
func New(name string, urls []string, capacity int) (*Router, error) {
	if len(urls) == 0 || capacity <= 0 {
		return nil, errors.New("a baseline needs at least one engine and a positive capacity")
	}
	switch name {
	case RoundRobin:
		return &Router{picker: newRoundRobin(urls, capacity)}, nil
	case LeastLoad:
		return &Router{picker: newLeastLoad(urls)}, nil
	default:
		return nil, errors.Errorf("unknown baseline %q; available: %s", name, strings.Join(Names(), ", "))
	}
}

// Server is a router that listens on a port of 127.0.0.1.
type Server struct {
	// URL is the server's base URL.
	URL string

	router *Router
	server *http.Server
	done   chan struct{}
}

// Start starts a server with the named router; see New.
func Start(name string, urls []string, capacity int) (*Server, error) {
	router, err := New(name, urls, capacity)
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

// Close stops the server and the router, and aborts requests in progress.
func (s *Server) Close() {
	_ = s.server.Close()
	<-s.done
	s.router.Close()
}
