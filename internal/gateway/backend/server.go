package backend

import (
	"sync/atomic"
	"time"

	"github.com/applepier/applepier/internal/gateway/exchange"
)

// Info is what the list of backend servers says of one start of a server.
type Info struct {
	// ID identifies this start; a later one has another.
	ID      string
	Addr    string
	Service string
	Zone    string
	// Slots is how many requests it runs at once.
	Slots int
	// Leaving servers take no new work.
	Leaving bool
	// WarmupLeft is how much longer it is slow after its start, as of when the
	// list was read.
	WarmupLeft time.Duration
}

// Server is a backend server and what this process has there. Info is replaced
// as the list changes; the counts last as long as the server is listed.
type Server struct {
	info atomic.Pointer[Info]
	// replaced says that another start was met at its address. The Registry's
	// lock guards it.
	replaced bool
	// Load is what this process has there.
	Load Load
}

// Info is what the list says of the server. It is not to be changed.
func (s *Server) Info() *Info { return s.info.Load() }

// Peer is the server as connections know it.
func (s *Server) Peer() exchange.Peer {
	info := s.Info()
	return exchange.Peer{Addr: info.Addr, Instance: info.ID}
}
