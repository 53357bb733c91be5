package peers

import (
	"sync"
	"time"

	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/follow"
	"github.com/applepier/applepier/policy"
)

// silentAfter is how long counts are believed after the last datagram: long
// enough for a few lost ones, short enough that a gateway that died doesn't
// keep servers looking busy.
const silentAfter = time.Second

// peer is what is known of another gateway.
type peer struct {
	addr     string
	boot     uint64
	sequence uint64
	received time.Time
	// known is when it was first known, from the list or itself.
	known time.Time
	// stamp is the last stamp that came, to be echoed.
	stamp uint64
	loads []load
	// shortages are what it was short of when it told last.
	shortages []shortage
	// limits hold what it sent to servers that have named one.
	limits []limit
	// version is the desired state that it had in force last.
	version uint64
	// follows is whether it asks the store, and servers what it knows of the list of
	// backend servers.
	follows following
	servers follow.Position
	// quarantine says that it knows which requests are quarantined.
	quarantine bool
	usage      usagePeer
}

// live reports whether a datagram of it was received lately.
func (p *peer) live(now time.Time) bool { return now.Sub(p.received) <= silentAfter }

// table keeps the other gateways' counts and their sums. All methods may be
// called concurrently.
type table struct {
	// mu guards what follows; nothing is locked while it is held.
	mu    sync.Mutex
	peers map[string]*peer
	sums  map[uint32]*backend.Counts
	// lacking sums the shortages by service.
	lacking map[uint32]policy.Shortage
	// limited sums what was sent to servers that have named a limit.
	limited map[uint32]float64
}

func newTable() *table {
	return &table{peers: map[string]*peer{}, sums: map[uint32]*backend.Counts{}, lacking: map[uint32]policy.Shortage{}, limited: map[uint32]float64{}}
}

// take takes a datagram's counts; false if it is older than what is known.
func (t *table) take(now time.Time, addr string, m *received) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peer(m.From)
	if p.boot == m.Boot && m.Sequence <= p.sequence {
		return false
	}
	// The new counts first: servers at which the gateway goes on having something
	// keep their sums.
	t.add(m.Loads, 1)
	t.lack(m.Shortages, 1)
	t.limit(m.Limits, 1)
	t.drop(p)
	if p.boot != m.Boot {
		p.usage = usagePeer{}
	}
	p.addr, p.boot, p.sequence, p.received, p.stamp = addr, m.Boot, m.Sequence, now, m.Stamp
	p.version, p.follows, p.servers, p.quarantine = m.Version, m.Follows, m.Servers, m.Quarantine
	p.loads, p.shortages, p.limits = m.Loads, m.Shortages, m.Limits
	return true
}

// know notes a gateway's address from the list.
func (t *table) know(name, addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peer(name).addr = addr
}

// peer returns a gateway, known from now on at least; t.mu is held.
func (t *table) peer(name string) *peer {
	p := t.peers[name]
	if p == nil {
		p = &peer{known: time.Now()}
		t.peers[name] = p
	}
	return p
}

// silent names the gateways from which nothing was received for a time.
func (t *table) silent(now time.Time, than time.Duration) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for name, p := range t.peers {
		if now.Sub(p.received) > than && now.Sub(p.known) > than {
			names = append(names, name)
		}
	}
	return names
}

// forget drops a gateway that isn't listed any more.
func (t *table) forget(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[name]; p != nil {
		t.drop(p)
		delete(t.peers, name)
	}
}

// expire drops the counts of gateways that are silent.
func (t *table) expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		if !p.live(now) {
			t.drop(p)
		}
	}
}

// destination is where a datagram goes, and which stamp it echoes.
type destination struct {
	name string
	addr string
	echo uint64
	boot uint64
	// receivesUsage says that it is sent usage updates, and acknowledged the last change that
	// it has merged.
	receivesUsage bool
	acknowledged  uint64
	// ackSent is what was last acknowledged to it.
	ackSent uint64
}

func (t *table) destinations() []destination {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]destination, 0, len(t.peers))
	for name, p := range t.peers {
		all = append(all, destination{name: name, addr: p.addr, echo: p.stamp, boot: p.boot, acknowledged: p.usage.acknowledged, ackSent: p.usage.ackSent})
	}
	return all
}

// livePeers counts the live peers.
func (t *table) livePeers(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, p := range t.peers {
		if p.live(now) {
			n++
		}
	}
	return n
}

// newest returns the address of the live peer with the newest desired state; which of
// several is left to chance.
func (t *table) newest(now time.Time) (addr string, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		if p.live(now) && p.version > version {
			addr, version = p.addr, p.version
		}
	}
	return addr, version
}

// listed counts the gateways that are known, live or not.
func (t *table) listed() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.peers)
}

func (t *table) at(server uint32) backend.Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.sums[server]; s != nil {
		return *s
	}
	return backend.Counts{}
}

func (t *table) limitedSends(start uint32) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limited[start]
}

func (t *table) shortage(service uint32) policy.Shortage {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lacking[service]
}

// drop takes away what a gateway told; t.mu is held.
func (t *table) drop(p *peer) {
	t.add(p.loads, -1)
	t.lack(p.shortages, -1)
	t.limit(p.limits, -1)
	p.loads, p.shortages, p.limits = nil, nil, nil
}

// limit adds or takes away what was sent to servers with a limit; t.mu is held.
func (t *table) limit(limits []limit, sign float64) {
	const none = 1e-3
	for _, l := range limits {
		if !counted(l.Sent) {
			continue
		}
		if sum := t.limited[l.Server] + sign*float64(l.Sent); sum > none {
			t.limited[l.Server] = sum
		} else {
			delete(t.limited, l.Server)
		}
	}
}

// lack adds or takes away shortages; t.mu is held.
func (t *table) lack(shortages []shortage, sign float64) {
	for i := range shortages {
		s := t.lacking[shortages[i].Service]
		counts := shortages[i].counts()
		s.Add(&counts, sign)
		t.lacking[shortages[i].Service] = s
	}
}

// add adds or takes away counts; t.mu is held.
func (t *table) add(loads []load, sign int) {
	for i := range loads {
		s := t.sums[loads[i].Server]
		if s == nil {
			s = &backend.Counts{}
			t.sums[loads[i].Server] = s
		}
		loads[i].addTo(s, sign)
		if sign < 0 && *s == (backend.Counts{}) {
			delete(t.sums, loads[i].Server)
		}
	}
}
