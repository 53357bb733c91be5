package peers

import (
	"cmp"
	"maps"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// holderCount is the number of gateways to which a record is sent. With three, in different
	// availability zones where there are so many, most records outlast the crash of half of the
	// gateways at once.
	holderCount = 3
	// spareRanks is the number of ranks in each zone beyond the holders' that are Candidates. One is
	// for the gateway that sent the record, which isn't its own holder, and one for a gateway that has
	// started since.
	spareRanks = 2
	// zoneAnnouncementInterval is the number of datagrams of which one announces the sender's zone.
	zoneAnnouncementInterval = 8
)

// Holders returns the addresses of the live gateways that hold the record with a key for all gateways.
// Every gateway derives nearly the same ones from the gateways that it receives from. Gateways of
// releases that don't hold records are left out.
func (m *Mesh) Holders(key uint64) []string { return m.holders(key)[0] }

// Candidates returns the addresses of the gateways, other than Holders, that are holders according to
// gateways with a slightly different list of gateways.
func (m *Mesh) Candidates(key uint64) []string { return m.holders(key)[1] }

// Alone reports whether no other gateway is listed, running or not.
func (m *Mesh) Alone() bool { return m.table.size() == 0 }

// Send sends a datagram to a gateway. A failed send is treated like a lost datagram.
func (m *Mesh) Send(addr string, datagram []byte) {
	if dst, err := net.ResolveUDPAddr("udp4", addr); err == nil {
		_, _ = m.conn.WriteTo(datagram, dst)
	}
}

// holders returns the holders of a key and the further candidates.
func (m *Mesh) holders(key uint64) [2][]string {
	ranked := rankHolders(key, m.table.holdersByZone(time.Now()))
	ranks := (holderCount + len(ranked) - 1) / max(len(ranked), 1)
	var result [2][]string
	for rank := range ranks + spareRanks {
		for _, zone := range ranked {
			switch {
			case rank >= len(zone):
			case len(result[0]) < holderCount:
				result[0] = append(result[0], zone[rank].addr)
			default:
				result[1] = append(result[1], zone[rank].addr)
			}
		}
	}
	return result
}

// holder is a gateway that holds records for others.
type holder struct {
	name string
	addr string
	// weight is its rendezvous hash for a key.
	weight uint64
}

// rankHolders returns the gateways of at most holderCount zones. It sorts the zones, and the gateways
// of each, by rendezvous hash. The order of zones doesn't depend on their gateways, so that a gateway
// that comes or goes changes one zone only.
func rankHolders(key uint64, byZone map[uint16][]holder) [][]holder {
	zones := slices.Collect(maps.Keys(byZone))
	slices.SortFunc(zones, func(a, b uint16) int {
		weight := func(zone uint16) uint64 { return rendezvousHash(key, strconv.Itoa(int(zone))) }
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
	})
	ranked := make([][]holder, 0, holderCount)
	for _, zone := range zones[:min(len(zones), holderCount)] {
		list := byZone[zone]
		for i := range list {
			list[i].weight = rendezvousHash(key, list[i].name)
		}
		slices.SortFunc(list, func(a, b holder) int {
			return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
		})
		ranked = append(ranked, list)
	}
	return ranked
}

// rendezvousHash returns the weight of a name for a key.
func rendezvousHash(key uint64, name string) uint64 {
	return xxhash.Sum64String(strconv.FormatUint(key, 36) + "/" + name)
}

// zoneKey returns the hash under which a gateway announces its zone; never 0, which gateways announce
// that don't hold records.
func zoneKey(zone string) uint16 { return max(uint16(xxhash.Sum64String(zone)), 1) }

// holdersByZone returns the live peers that hold records, by zone.
func (t *table) holdersByZone(now time.Time) map[uint16][]holder {
	t.mu.Lock()
	defer t.mu.Unlock()
	byZone := map[uint16][]holder{}
	for name, p := range t.peers {
		if p.zone != 0 && p.isLive(now) {
			byZone[p.zone] = append(byZone[p.zone], holder{name: name, addr: p.addr})
		}
	}
	return byZone
}
