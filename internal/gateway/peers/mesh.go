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
	// gossipInterval is how often a gateway tells the others what it has: a request
	// takes 20 to 2,000 ms, and a datagram a fraction of a millisecond.
	gossipInterval = 100 * time.Millisecond
	// goneAfter is how long a gateway that was listed or received from is waited for:
	// a VM that restarts, or a network that is mended, takes less.
	goneAfter = 10 * time.Minute
)

// Mesh is this gateway's end of the exchange. It implements the sink of a
// follower of the gateways' list.
type Mesh struct {
	Config
	// Unlisted tells that this gateway's own entry was removed from the list.
	Unlisted chan struct{}
	conn     net.PacketConn
	table    *table
	boot     uint64
	sequence uint64
	// listings counts the answers about the list of gateways, and listedAt is when the
	// last one came, on boottime's clock.
	listings atomic.Int64
	listedAt atomic.Int64
	// registeredAt is when this gateway's entry was written last, on the same clock; 0 for
	// never.
	registeredAt atomic.Int64
}

var _ follow.Sink[Entry] = (*Mesh)(nil)

// Listen returns a Mesh that listens on its own address.
func Listen(c Config) (*Mesh, error) {
	conn, err := net.ListenPacket("udp4", c.Self.Addr)
	if err != nil {
		return nil, errors.Wrap(ErrListen, err.Error())
	}
	return &Mesh{Config: c, Unlisted: make(chan struct{}, 1), conn: conn, table: newTable(), boot: rand.Uint64()}, nil
}

// Run exchanges datagrams until ctx ends.
func (m *Mesh) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, m.Close)
	defer stop()
	var wg conc.WaitGroup
	wg.Go(func() { m.listen(ctx) })
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

// Close stops a Mesh that doesn't run.
func (m *Mesh) Close() { _ = m.conn.Close() }

// At returns what all other gateways have at a backend server.
func (m *Mesh) At(server string) backend.Counts { return m.table.at(hash(server)) }

// Shortage returns what all other gateways are short of at a service's servers.
func (m *Mesh) Shortage(service string) policy.Shortage { return m.table.shortage(hash(service)) }

// LimitedSends returns how many requests all other gateways have sent lately to a backend
// server's start that has named a limit.
func (m *Mesh) LimitedSends(start policy.Key) float64 { return m.table.limitedSends(uint32(start)) }

// Gateways counts the live gateways, this one included.
func (m *Mesh) Gateways() int { return 1 + m.table.livePeers(time.Now()) }

// Before counts the live peers that the store isn't known to turn away and that come before
// this gateway, in an order on which all agree that are live to each other.
func (m *Mesh) Before() int { return m.table.before(time.Now(), m.Self.Name) }

// Followed reports whether a live peer asks the store for news.
func (m *Mesh) Followed() bool { return m.table.followed(time.Now()) }

// Quarantined reports whether a live peer knows which requests are quarantined. It sends
// them in turn.
func (m *Mesh) Quarantined() bool { return m.table.quarantined(time.Now()) }

// Ahead returns the address of a live peer that knows of changes in the list of backend
// servers after a position; empty for none.
func (m *Mesh) Ahead(at follow.Position) string { return m.table.ahead(time.Now(), at) }

// Newest returns the address of the live peer with the newest desired state, and its
// version; empty for none.
func (m *Mesh) Newest() (addr string, version uint64) { return m.table.newest(time.Now()) }

// Start identifies this gateway's start.
func (m *Mesh) Start() uint64 { return m.boot }

// Addr is the address at which this gateway listens for datagrams.
func (m *Mesh) Addr() string { return m.conn.LocalAddr().String() }

// Unseen is for how long what another gateway sends may go unseen here: up to
// the time between two datagrams.
func (m *Mesh) Unseen() time.Duration { return gossipInterval }

// Listed counts the gateways in the list, this one included, whether they run
// or not.
func (m *Mesh) Listed() int { return 1 + m.table.listed() }

// Listings counts the answers about the list that came, and tells how old the last one
// is.
func (m *Mesh) Listings() (count int64, age time.Duration) {
	return m.listings.Load(), boottime.Now() - time.Duration(m.listedAt.Load())
}

// Registered notes that this gateway's entry has been written.
func (m *Mesh) Registered() { m.registeredAt.Store(int64(boottime.Now())) }

// Reset implements follow.Sink. A list that was read after this gateway's entry was written
// and lacks it is an older copy's.
func (m *Mesh) Reset(moment time.Duration, all follow.Batch[Entry]) {
	m.Change(moment, all)
	registered := time.Duration(m.registeredAt.Load())
	if registered == 0 || moment < registered {
		return
	}
	if !slices.ContainsFunc(all.Items, func(e Entry) bool { return e.Name == m.Self.Name }) {
		m.unlisted()
	}
}

// Change implements follow.Sink.
func (m *Mesh) Change(_ time.Duration, changes follow.Batch[Entry]) {
	m.listings.Add(1)
	m.listedAt.Store(int64(boottime.Now()))
	for _, e := range changes.Items {
		if e.Name != m.Self.Name {
			m.table.know(e.Name, e.Addr)
		}
	}
	for _, name := range changes.Removed {
		if name == m.Self.Name {
			m.unlisted()
			continue
		}
		m.table.forget(name)
	}
}

// unlisted notes that this gateway's entry was removed.
func (m *Mesh) unlisted() {
	select {
	case m.Unlisted <- struct{}{}:
	default:
		// It is known already.
	}
}

// Gone names the listed gateways that have been silent for so long that their
// VMs are gone: a VM's name is never used again, so their entries would stay
// for good and count in the shared budgets.
func (m *Mesh) Gone() []string { return m.table.silent(time.Now(), goneAfter) }

// Available implements follow.Sink.
func (m *Mesh) Available() {}

// Unavailable implements follow.Sink.
func (m *Mesh) Unavailable(error) {}
