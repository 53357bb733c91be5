package isolation

import (
	"cmp"
	"encoding/binary"
	"hash/crc32"
	"slices"

	"github.com/applepier/applepier/policy"
)

// speedClass is a class of servers of about equal speed, the fastest first.
type speedClass uint8

const (
	fastServer speedClass = iota
	averageServer
	slowServer
)

const (
	// fastBelow and slowAbove are the slowdowns that separate the speed classes. Servers within
	// a class are ordered by hash, so that gateways with slightly different estimates agree.
	fastBelow = 0.85
	slowAbove = 1.15
	// minSlowdown and maxSlowdown bound the estimate, so that an absurd one doesn't outweigh
	// all other servers.
	minSlowdown = 0.1
	maxSlowdown = 10.0
)

// slowdown returns the server's bounded slowdown, 1 if it isn't known.
func (s *Server) slowdown() float64 {
	if slowdown := sanitize(s.Slowdown); slowdown > 0 {
		return min(max(slowdown, minSlowdown), maxSlowdown)
	}
	return 1
}

func (s *Server) speedClass() speedClass {
	switch slowdown := s.slowdown(); {
	case slowdown < fastBelow:
		return fastServer
	case slowdown > slowAbove:
		return slowServer
	default:
		return averageServer
	}
}

// place is a server's place in the order of reservation. It depends on no other server.
type place struct {
	key   policy.Key
	class speedClass
	hash  uint32
	index int
}

// serverOrder is the order in which servers are reserved. It is kept between decisions and
// sorted only if a server was added, removed or moved in the list, or changed its speed class.
type serverOrder struct {
	// byIndex has the servers in the order of the list, and sorted in that of reservation.
	byIndex, sorted []place
	// keyBytes is the input of hash. As a local variable it would be allocated for each server.
	keyBytes [4]byte
}

// update sorts the servers if that is necessary.
func (o *serverOrder) update(servers []Server) {
	if o.current(servers) {
		return
	}
	o.byIndex = o.byIndex[:0]
	for i := range servers {
		s := &servers[i]
		o.byIndex = append(o.byIndex, place{s.Key, s.speedClass(), o.hash(s.Key), i})
	}
	o.sorted = append(o.sorted[:0], o.byIndex...)
	slices.SortFunc(o.sorted, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.hash, b.hash), cmp.Compare(a.key, b.key))
	})
}

// current reports whether the order is that of the given servers.
func (o *serverOrder) current(servers []Server) bool {
	if len(servers) != len(o.byIndex) {
		return false
	}
	for i := range servers {
		if o.byIndex[i].key != servers[i].Key || o.byIndex[i].class != servers[i].speedClass() {
			return false
		}
	}
	return true
}

// hash returns a hash of a server's key that is the same at all gateways.
func (o *serverOrder) hash(key policy.Key) uint32 {
	binary.LittleEndian.PutUint32(o.keyBytes[:], uint32(key))
	return crc32.ChecksumIEEE(o.keyBytes[:])
}
