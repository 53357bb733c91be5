package backend

import (
	"sync/atomic"
	"time"

	"github.com/applepier/applepier/internal/gateway/exchange"
	"github.com/applepier/applepier/policy"
)

// Info is what the list of backend servers says of one start of a server.
type Info struct {
	// ID identifies the server. A later start may have the same one.
	ID string
	// Born is the Unix millisecond of the start, 0 where servers don't say, and
	// Sequence counts its entries from then on.
	Born     int64
	Sequence int64
	Addr     string
	Service  string
	Zone     string
	// Slots is how many requests it runs at once.
	Slots int
	// Leaving servers take no new work.
	Leaving bool
	// WarmupLeft is how much longer it is slow after its start, as of when the
	// list was read.
	WarmupLeft time.Duration
}

// Start identifies the start, also where a later one has the same id.
func (i *Info) Start() policy.Key {
	const spread = 0x9e3779b97f4a7c15
	return policy.KeyOf(i.ID) ^ policy.Key(uint64(i.Born)*spread>>32)
}

// sameStart reports whether a later entry under the same id is of the same start:
// one that begins to count anew isn't, whether it says when it began or not.
func (i *Info) sameStart(later *Info) bool {
	if i.Born != 0 && later.Born != 0 {
		return i.Born == later.Born
	}
	return later.Sequence >= i.Sequence && i.Addr == later.Addr
}

// olderThan reports whether an entry was written before another one under the same id.
func (i *Info) olderThan(other *Info) bool {
	if i.Born != other.Born {
		return i.Born < other.Born
	}
	return i.Sequence < other.Sequence
}

// Server is one start of a backend server and what this process has there. Info is
// replaced as the list changes; the counts last as long as the start is listed.
type Server struct {
	info atomic.Pointer[Info]
	// replaced says that another start was met at its address. The Registry's
	// lock guards it.
	replaced bool
	// ended says that nothing listens at its address any more.
	ended atomic.Bool
	// Load is what this process has there.
	Load Load
}

// Info is what the list says of the server. It is not to be changed.
func (s *Server) Info() *Info { return s.info.Load() }

// Peer is the server as connections know it.
func (s *Server) Peer() exchange.Peer {
	info := s.Info()
	return exchange.Peer{Addr: info.Addr, Instance: info.ID, Born: info.Born}
}

// Ended notes that the start has ended; it reports whether that is news.
func (s *Server) Ended() bool { return s.ended.CompareAndSwap(false, true) }

// HasEnded reports whether the start is known to have ended.
func (s *Server) HasEnded() bool { return s.ended.Load() }
