package peers

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"

	"github.com/applepier/applepier/internal/boottime"
	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/follow"
	"github.com/applepier/applepier/policy"
)

const (
	// gossipInterval is the time between two datagrams to a peer. A request takes 20 to 2,000
	// ms, and a datagram a fraction of a millisecond.
	gossipInterval = 100 * time.Millisecond
	// removeAfter is how long a gateway may send no datagrams before its entry is removed from the
	// list. A VM restart or the repair of a network fault takes less time.
	removeAfter = 10 * time.Minute
)

// Mesh sends this gateway's datagrams to the other gateways and keeps what it received from them. It
// implements follow.Sink for the list of gateways. Its exported methods are safe for concurrent use.
type Mesh struct {
	Config
	// Unlisted receives a value when this gateway's own entry was removed from the list.
	Unlisted chan struct{}
	conn     net.PacketConn
	table    *table
	// bootID identifies this instance of the gateway; sequence is that of the last broadcast, and
	// is used only by Run's goroutine.
	bootID   uint64
	sequence uint64
	// listUpdates counts the responses received about the list of gateways; listUpdatedAt is the
	// time of the last one on the boottime clock.
	listUpdates   atomic.Int64
	listUpdatedAt atomic.Int64
	// registeredAt is when this gateway's entry was last written, on the boottime clock; 0
	// means never.
	registeredAt atomic.Int64
}

var _ follow.Sink[Entry] = (*Mesh)(nil)

// Listen binds the gateway's own datagram address and returns a Mesh; it returns ErrListen if
// the address can't be bound.
func Listen(c Config) (*Mesh, error) {
	conn, err := net.ListenPacket("udp4", c.Self.Addr)
	if err != nil {
		return nil, errors.Wrap(ErrListen, err.Error())
	}
	return &Mesh{Config: c, Unlisted: make(chan struct{}, 1), conn: conn, table: newTable(), bootID: rand.Uint64()}, nil
}

// Run sends and receives datagrams until ctx ends.
func (m *Mesh) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, m.Close)
	defer stop()
	var wg conc.WaitGroup
	wg.Go(func() { m.receiveLoop(ctx) })
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case now := <-ticker.C:
			m.table.expire(now)
			m.broadcast()
		}
	}
	wg.Wait()
}

// Close closes the socket. Run does so itself when ctx ends.
func (m *Mesh) Close() { _ = m.conn.Close() }

// LoadAt returns the sum of all other gateways' load at a backend server.
func (m *Mesh) LoadAt(server string) backend.Counts { return m.table.loadAt(hashName(server)) }

// OfferCounts returns the sum of all other gateways' counts of offers for a service.
func (m *Mesh) OfferCounts(service string) policy.OfferCounts {
	return m.table.offerCounts(hashName(service))
}

// LimitedSends returns how many requests all other gateways have recently sent to an instance of a
// backend server that has stated a rate limit.
func (m *Mesh) LimitedSends(instance policy.Key) float64 {
	return m.table.limitedSends(uint32(instance))
}

// LiveGateways returns the number of live gateways, including this one.
func (m *Mesh) LiveGateways() int { return 1 + m.table.livePeers(time.Now()) }

// PrecedingPeers returns the number of live peers that come before this gateway in the order of
// their names' hashes, on which all gateways agree. Peers that report that they can't reach the
// store are not counted.
func (m *Mesh) PrecedingPeers() int { return m.table.precedingPeers(time.Now(), m.Self.Name) }

// PeerPollsStore reports whether a live peer polls the store for changes.
func (m *Mesh) PeerPollsStore() bool { return m.table.anyPolling(time.Now()) }

// PeerKnowsQuarantine reports whether a live peer knows the quarantined requests and segments. The
// datagrams of such a peer repeat them one at a time.
func (m *Mesh) PeerKnowsQuarantine() bool { return m.table.anyKnowsQuarantine(time.Now()) }

// OwnsTrial reports whether this gateway makes the trial of quarantined segments with a key: it knows
// what is quarantined, and no live peer that does has a larger rendezvous hash for the key.
func (m *Mesh) OwnsTrial(key uint64) bool {
	return m.StoreStatus().QuarantineKnown && !m.table.anyTrialOwnerBefore(time.Now(), key, rendezvousHash(key, m.Self.Name))
}

// PeerWithNewerServers returns the address of a live peer that knows changes of the list of
// backend servers after a position; empty if there is none.
func (m *Mesh) PeerWithNewerServers(position follow.Position) string {
	return m.table.withNewerServers(time.Now(), position)
}

// PeerWithNewestState returns the address of a live peer with the newest desired state, and its
// version; empty and 0 if no live peer has one.
func (m *Mesh) PeerWithNewestState() (addr string, version uint64) {
	return m.table.newestState(time.Now())
}

// BootID returns the random identifier of this instance of the gateway.
func (m *Mesh) BootID() uint64 { return m.bootID }

// Addr returns the address at which this gateway listens for datagrams.
func (m *Mesh) Addr() string { return m.conn.LocalAddr().String() }

// ReportInterval returns the time between two datagrams of another gateway. Requests that it started
// since its last datagram are unknown here.
func (m *Mesh) ReportInterval() time.Duration { return gossipInterval }

// ListedGateways returns the number of gateways in the list, including this one, whether or not
// they are running.
func (m *Mesh) ListedGateways() int { return 1 + m.table.size() }

// KnownGateways returns ListedGateways, or 0 until the list has been read. Before that only the gateways
// that send datagrams to this one are known.
func (m *Mesh) KnownGateways() int {
	if m.listUpdates.Load() == 0 {
		return 0
	}
	return m.ListedGateways()
}

// ListUpdates returns the number of responses received about the list of gateways, and the age of
// the last one.
func (m *Mesh) ListUpdates() (count int64, age time.Duration) {
	return m.listUpdates.Load(), boottime.Now() - time.Duration(m.listUpdatedAt.Load())
}

// MarkRegistered records that this gateway's entry has just been written to the list.
func (m *Mesh) MarkRegistered() { m.registeredAt.Store(int64(boottime.Now())) }

// Reset implements follow.Sink. It signals Unlisted if the list was read after this gateway's entry
// was written but doesn't contain it, as after a restore of the store from an older copy.
func (m *Mesh) Reset(asOf time.Duration, entries follow.Batch[Entry]) {
	m.Change(asOf, entries)
	registeredAt := time.Duration(m.registeredAt.Load())
	if registeredAt == 0 || asOf < registeredAt {
		return
	}
	if !slices.ContainsFunc(entries.Items, func(e Entry) bool { return e.Name == m.Self.Name }) {
		m.signalUnlisted()
	}
}

// Change implements follow.Sink.
func (m *Mesh) Change(_ time.Duration, changes follow.Batch[Entry]) {
	m.listUpdates.Add(1)
	m.listUpdatedAt.Store(int64(boottime.Now()))
	for _, e := range changes.Items {
		if e.Name != m.Self.Name {
			m.table.setAddr(e.Name, e.Addr)
		}
	}
	for _, name := range changes.Removed {
		if name == m.Self.Name {
			m.signalUnlisted()
			continue
		}
		m.table.remove(name)
	}
}

// signalUnlisted sends to Unlisted without blocking.
func (m *Mesh) signalUnlisted() {
	select {
	case m.Unlisted <- struct{}{}:
	default:
		// A signal is already pending.
	}
}

// SilentPeers returns the names of known gateways that have sent no datagrams for so long that their
// VMs are taken to be gone. A VM's name is never reused, so a stale entry would stay for good and
// keep a share of the retry budgets and rate limits, which are divided by the number of gateways.
func (m *Mesh) SilentPeers() []string { return m.table.silentPeers(time.Now(), removeAfter) }

// Available implements follow.Sink.
func (m *Mesh) Available() {}

// Unavailable implements follow.Sink.
func (m *Mesh) Unavailable(error) {}
