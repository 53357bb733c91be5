package peers

import (
	"sync"
	"time"

	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/follow"
	"github.com/applepier/applepier/policy"
)

// peerTimeout is how long a peer counts as live, and its counts are used, after its last datagram. It
// is long enough to tolerate a few lost datagrams, and short enough that servers don't seem busy for
// long with the requests of a crashed gateway.
const peerTimeout = time.Second

// peer is the known state of another gateway.
type peer struct {
	// addr is the host:port to which datagrams are sent.
	addr string
	// bootID, sequence and lastReceived are those of the peer's last datagram.
	bootID       uint64
	sequence     uint64
	lastReceived time.Time
	// earlierBootID is the bootID before that; 0 if there was none.
	earlierBootID uint64
	// firstKnown is when the peer was first seen, in the list or by a datagram.
	firstKnown time.Time
	// lastStamp is the Stamp of the peer's last datagram, to be echoed.
	lastStamp uint64
	loads     []serverLoad
	// offerCounts holds the counts of offers in the peer's last datagram.
	offerCounts []offerCounts
	// limits holds the rate limits in the peer's last datagram, with the number of requests that the
	// peer sent to these servers.
	limits []serverLimit
	// stateVersion is the version of the desired state last in force at the peer.
	stateVersion uint64
	// storeMode is whether the peer polls the store; serversPosition is the position after the newest
	// change of the list of backend servers that it knows.
	storeMode       storeMode
	serversPosition follow.Position
	// quarantineKnown is whether the peer knows the quarantined requests and segments.
	quarantineKnown bool
	// zone is the zoneKey that the peer last announced; 0 if it doesn't hold records.
	zone uint16
	// demandZone is the zoneKey that the peer last announced for its demand; 0 if the peer doesn't plan
	// the zones' shares.
	demandZone uint16
	usage      peerUsage
}

// isLive reports whether a datagram of the peer was received within peerTimeout.
func (p *peer) isLive(now time.Time) bool { return now.Sub(p.lastReceived) <= peerTimeout }

// table holds the state of all other gateways and the sums of their counts. All methods are
// safe for concurrent use.
type table struct {
	// mu guards the fields below. No other lock is acquired while it is held.
	mu sync.Mutex
	// peers holds the other gateways by name, loadSums the sums of their loads by server hash.
	peers    map[string]*peer
	loadSums map[uint32]*backend.Counts
	// offerSums holds the sums of the counts of offers by service hash.
	offerSums map[uint32]policy.OfferCounts
	// limitedSendSums holds the sums of requests to servers that have stated a rate limit, by
	// server instance.
	limitedSendSums map[uint32]float64
}

func newTable() *table {
	return &table{peers: map[string]*peer{}, loadSums: map[uint32]*backend.Counts{}, offerSums: map[uint32]policy.OfferCounts{}, limitedSendSums: map[uint32]float64{}}
}

// update applies a datagram. It returns false if the datagram is not newer than the last one of
// the same instance of the gateway, or if it is a late one of the instance before while the current
// one sends.
func (t *table) update(now time.Time, addr string, in *decodedMessage) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.getOrAdd(in.From)
	if p.bootID == in.BootID && in.Sequence <= p.sequence {
		return false
	}
	if p.earlierBootID != 0 && p.earlierBootID == in.BootID && p.isLive(now) {
		return false
	}
	// Add the new counts before subtracting the old ones: the sums of servers at which the
	// gateway still has load are then kept.
	t.addLoads(in.Loads, 1)
	t.addOfferCounts(in.OfferCounts, 1)
	t.addLimitedSends(in.Limits, 1)
	t.subtract(p)
	if p.bootID != in.BootID {
		p.usage, p.zone, p.demandZone, p.earlierBootID = peerUsage{}, 0, 0, p.bootID
	}
	if in.Zone != 0 {
		p.zone = in.Zone
	}
	p.addr, p.bootID, p.sequence, p.lastReceived, p.lastStamp = addr, in.BootID, in.Sequence, now, in.Stamp
	p.stateVersion, p.storeMode, p.serversPosition, p.quarantineKnown = in.StateVersion, in.StoreMode, in.ServersPosition, in.SegmentsKnown
	p.loads, p.offerCounts, p.limits = in.Loads, in.OfferCounts, in.Limits
	if in.DemandZone != 0 {
		p.demandZone = in.DemandZone
	}
	return true
}

// setAddr sets a gateway's address from the list, adding the gateway if it is new.
func (t *table) setAddr(name, addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.getOrAdd(name).addr = addr
}

// getOrAdd returns the peer with a name, adding it if it is new; t.mu must be held.
func (t *table) getOrAdd(name string) *peer {
	p := t.peers[name]
	if p == nil {
		p = &peer{firstKnown: time.Now()}
		t.peers[name] = p
	}
	return p
}

// silentPeers returns the names of gateways that have been known for longer than threshold and
// sent nothing within it.
func (t *table) silentPeers(now time.Time, threshold time.Duration) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for name, p := range t.peers {
		if now.Sub(p.lastReceived) > threshold && now.Sub(p.firstKnown) > threshold {
			names = append(names, name)
		}
	}
	return names
}

// remove deletes a gateway that is no longer listed.
func (t *table) remove(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[name]; p != nil {
		t.subtract(p)
		delete(t.peers, name)
	}
}

// expire subtracts the counts of gateways that are not live.
func (t *table) expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		if !p.isLive(now) {
			t.subtract(p)
		}
	}
}

// destination is a receiver of a datagram, with the data that is specific to it.
type destination struct {
	name string
	addr string
	// echoStamp and bootID are the Stamp and the BootID of the receiver's last datagram.
	echoStamp uint64
	bootID    uint64
	// receivesUsage is whether the receiver is sent usage updates; ackReceived is the sequence
	// number of this gateway's last change that it has acknowledged as merged.
	receivesUsage bool
	ackReceived   uint64
	// ackSent is the sequence number of the receiver's last change that was acknowledged to it.
	ackSent uint64
}

// destinations returns all known gateways, live or not. receivesUsage is not set yet.
func (t *table) destinations() []destination {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]destination, 0, len(t.peers))
	for name, p := range t.peers {
		list = append(list, destination{name: name, addr: p.addr, echoStamp: p.lastStamp, bootID: p.bootID, ackReceived: p.usage.ackReceived, ackSent: p.usage.ackSent})
	}
	return list
}

// livePeers returns the number of live peers.
func (t *table) livePeers(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, p := range t.peers {
		if p.isLive(now) {
			count++
		}
	}
	return count
}

// newestState returns the address of a live peer with the newest desired state, picked
// arbitrarily if there are several, and its version.
func (t *table) newestState(now time.Time) (addr string, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		if p.isLive(now) && p.stateVersion > version {
			addr, version = p.addr, p.stateVersion
		}
	}
	return addr, version
}

// size returns the number of known gateways, live or not.
func (t *table) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.peers)
}

func (t *table) loadAt(server uint32) backend.Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sum := t.loadSums[server]; sum != nil {
		return *sum
	}
	return backend.Counts{}
}

func (t *table) limitedSends(instance uint32) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limitedSendSums[instance]
}

func (t *table) offerCounts(service uint32) policy.OfferCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.offerSums[service]
}

// subtract removes a peer's counts from the sums; t.mu must be held.
func (t *table) subtract(p *peer) {
	t.addLoads(p.loads, -1)
	t.addOfferCounts(p.offerCounts, -1)
	t.addLimitedSends(p.limits, -1)
	p.loads, p.offerCounts, p.limits = nil, nil, nil
}

// addLimitedSends adds the requests to limited servers to the sums, or subtracts them if sign
// is -1; t.mu must be held.
func (t *table) addLimitedSends(limits []serverLimit, sign float64) {
	const negligible = 1e-3 // smaller sums are rounding residues
	for _, l := range limits {
		if !validCount(l.SentRequests) {
			continue
		}
		if sum := t.limitedSendSums[l.Instance] + sign*float64(l.SentRequests); sum > negligible {
			t.limitedSendSums[l.Instance] = sum
		} else {
			delete(t.limitedSendSums, l.Instance)
		}
	}
}

// addOfferCounts adds counts of offers to the sums, or subtracts them if sign is -1; t.mu must be
// held.
func (t *table) addOfferCounts(counts []offerCounts, sign float64) {
	for i := range counts {
		sum := t.offerSums[counts[i].Service]
		unpacked := counts[i].unpack()
		sum.Add(&unpacked, sign)
		t.offerSums[counts[i].Service] = sum
	}
}

// addLoads adds loads to the sums, or subtracts them if sign is -1; t.mu must be held.
func (t *table) addLoads(loads []serverLoad, sign int) {
	for i := range loads {
		sum := t.loadSums[loads[i].Server]
		if sum == nil {
			sum = &backend.Counts{}
			t.loadSums[loads[i].Server] = sum
		}
		loads[i].addTo(sum, sign)
		if sign < 0 && *sum == (backend.Counts{}) {
			delete(t.loadSums, loads[i].Server)
		}
	}
}
