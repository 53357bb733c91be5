package backend

import (
	"sync/atomic"
	"time"

	"github.com/applepier/applepier/internal/gateway/exchange"
	"github.com/applepier/applepier/policy"
)

// Info is the list entry of one instance of a backend server. An instance is one run of the server
// process; a restart makes a new one. Gateways exchange it as CBOR under its field names, with
// earlier names where a tag gives one.
type Info struct {
	// ID identifies the server. A restarted server may keep it.
	ID string
	// StartUnixMilli is the time of the instance's start in Unix milliseconds, 0 if the server does
	// not report it. Sequence is the number of the entry among those that the instance wrote.
	StartUnixMilli int64 `cbor:"Born"`
	Sequence       int64
	// Addr is the host and port at which the server accepts requests.
	Addr    string
	Service string
	Zone    string
	// SoftwareVersion is the version of the server's software, which stays the same for an
	// instance. Events of streams from servers of two versions don't fit together. It is empty if
	// unknown, as in entries from gateways that don't pass it on.
	SoftwareVersion string
	// Slots is how many requests the server runs concurrently.
	Slots int
	// Draining servers take no new requests.
	Draining bool `cbor:"Leaving"`
	// WarmupLeft is how much longer the server will be slow after its start, at the time when the
	// list was read.
	WarmupLeft time.Duration
}

// InstanceKey returns a key that identifies the instance, even if a later one has the same ID.
func (i *Info) InstanceKey() policy.Key {
	// 2^64 divided by the golden ratio, for Fibonacci hashing of the start time.
	const mixer = 0x9e3779b97f4a7c15
	return policy.KeyOf(i.ID) ^ policy.Key(uint64(i.StartUnixMilli)*mixer>>32)
}

// VersionKey returns the key of the software version; 0 if unknown.
func (i *Info) VersionKey() policy.Key {
	if i.SoftwareVersion == "" {
		return 0
	}
	return policy.KeyOf(i.SoftwareVersion)
}

// sameInstance reports whether a later entry under the same ID belongs to the same instance. An
// entry with another start time or software version does not; where start times are missing, neither
// does one with a lower sequence number or another address.
func (i *Info) sameInstance(later *Info) bool {
	startsKnown := i.StartUnixMilli != 0 && later.StartUnixMilli != 0
	return i.sameRun(later) && (startsKnown || later.Sequence >= i.Sequence)
}

// sameRun reports whether two entries under the same ID are of one run of the server's process,
// whichever was written first. Without start times a restart under the same ID and address can't be
// distinguished from a late entry.
func (i *Info) sameRun(other *Info) bool {
	if i.SoftwareVersion != "" && other.SoftwareVersion != "" && i.SoftwareVersion != other.SoftwareVersion {
		return false
	}
	if i.StartUnixMilli != 0 && other.StartUnixMilli != 0 {
		return i.StartUnixMilli == other.StartUnixMilli
	}
	return i.Addr == other.Addr
}

// olderThan reports whether an entry was written before another one under the same ID.
func (i *Info) olderThan(other *Info) bool {
	if i.StartUnixMilli != other.StartUnixMilli {
		return i.StartUnixMilli < other.StartUnixMilli
	}
	return i.Sequence < other.Sequence
}

// Server is one instance of a backend server and the load that this process has there. Its Info is
// replaced as the list changes; its Load lasts as long as the instance is listed.
type Server struct {
	info atomic.Pointer[Info]
	// replaced is set when another instance responded at the server's address. The Registry's lock
	// guards it.
	replaced bool
	// ended is set once the server's host refuses connections to its address.
	ended atomic.Bool
	// Load tracks this process's requests at the server.
	Load Load
}

// Info returns the server's current list entry. The caller must not modify it.
func (s *Server) Info() *Info { return s.info.Load() }

// Instance returns the identity of the server for the connection pool.
func (s *Server) Instance() exchange.ServerInstance {
	info := s.Info()
	return exchange.ServerInstance{Addr: info.Addr, ServerID: info.ID, StartTime: info.StartUnixMilli}
}

// MarkEnded records that the instance has ended. It reports whether this was the first call.
func (s *Server) MarkEnded() bool { return s.ended.CompareAndSwap(false, true) }

// HasEnded reports whether the instance is known to have ended.
func (s *Server) HasEnded() bool { return s.ended.Load() }
