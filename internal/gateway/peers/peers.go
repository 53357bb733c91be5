// Package peers lets gateways tell each other, by datagram, what they have at
// each backend server and how certain they are of the desired state. A lost
// datagram is made good by the next. Start reading at Mesh.
package peers

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/boottime"
	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/follow"
	"github.com/applepier/applepier/internal/logging"
)

// Errors of the exchange.
var (
	// ErrListen: the address for datagrams can't be listened on.
	ErrListen = errors.New("can't listen for datagrams")
	// ErrForm: a datagram isn't of this protocol.
	ErrForm = errors.New("datagram of another form")
)

const (
	// tellEvery is how often a gateway tells the others what it has: a request
	// takes 20 to 2,000 ms, and a datagram a fraction of a millisecond.
	tellEvery = 100 * time.Millisecond
	// goneAfter is how long a gateway that was listed or heard of is waited for:
	// a VM that restarts, or a network that is mended, takes less.
	goneAfter = 10 * time.Minute
	// maxDatagram bounds a datagram in bytes; it holds some 4,000 servers.
	maxDatagram = 60 << 10
)

// Entry is a gateway in the platform's list.
type Entry struct {
	// Name is the VM's name; Addr the host:port for datagrams.
	Name string
	Addr string
}

// Load is what a gateway has at one backend server.
type Load struct {
	Server string
	Counts backend.Counts
}

// Proof is how certain a gateway is of its desired state.
type Proof struct {
	Version uint64
	// At is when that version was the newest, on boottime's clock; 0 for never.
	At time.Duration
}

// Config is what a Mesh needs.
type Config struct {
	Self Entry
	// Loads returns what this gateway has; servers without anything may be
	// left out.
	Loads func() []Load
	// Proof returns this gateway's proof, and Prove takes another's.
	Proof func() Proof
	Prove func(Proof)
	Log   *zap.Logger
}

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
	stop := context.AfterFunc(ctx, func() { _ = m.conn.Close() })
	defer stop()
	var wg conc.WaitGroup
	wg.Go(func() { m.listen(ctx) })
	ticker := time.NewTicker(tellEvery)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case now := <-ticker.C:
			m.table.expire(now)
			m.tell()
		}
	}
	wg.Wait()
}

// At returns what all other gateways have at a backend server.
func (m *Mesh) At(server string) backend.Counts { return m.table.at(hash(server)) }

// Gateways counts the gateways, this one included: those that were heard of
// lately.
func (m *Mesh) Gateways() int { return 1 + m.table.heard(time.Now()) }

// Newest returns the address of a gateway with the newest desired state of those
// that were heard of lately, and its version; empty for none.
func (m *Mesh) Newest() (addr string, version uint64) { return m.table.newest(time.Now()) }

// Addr is the address at which this gateway listens for datagrams.
func (m *Mesh) Addr() string { return m.conn.LocalAddr().String() }

// Unseen is how old what other gateways told is on average: half of the time
// between two datagrams, and the same again since a request that was refused or
// sent elsewhere meanwhile is told of with the next one.
func (m *Mesh) Unseen() time.Duration { return tellEvery }

// Listed counts the gateways in the list, this one included, whether they run
// or not.
func (m *Mesh) Listed() int { return 1 + m.table.listed() }

// Reset implements follow.Sink.
func (m *Mesh) Reset(moment time.Duration, all follow.Batch[Entry]) { m.Change(moment, all) }

// Change implements follow.Sink.
func (m *Mesh) Change(_ time.Duration, changes follow.Batch[Entry]) {
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

// Unavailable implements follow.Sink.
func (m *Mesh) Unavailable(error) {}

// tell sends a datagram to each other gateway.
func (m *Mesh) tell() {
	destinations := m.table.destinations()
	if len(destinations) == 0 {
		return
	}
	m.sequence++
	proof := m.Proof()
	now := boottime.Now()
	out := message{From: m.Self.Name, Boot: m.boot, Sequence: m.sequence, Version: proof.Version, Stamp: uint64(now)}
	if proof.At > 0 {
		out.ProofAge = uint64((now - proof.At).Milliseconds() + 1)
	}
	for _, l := range m.Loads() {
		if l.Counts != (backend.Counts{}) {
			out.Loads = append(out.Loads, loadOf(l.Server, &l.Counts))
		}
	}
	for _, d := range destinations {
		out.Echo, out.EchoBoot = d.echo, d.boot
		m.send(d.addr, &out)
	}
}

func (m *Mesh) send(addr string, out *message) {
	datagram, err := cbor.Marshal(out)
	if err != nil {
		m.Log.Error(logging.EventPeerUnreadable, logging.Reason(err.Error()))
		return
	}
	to, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		m.Log.Warn(logging.EventPeerUnreadable, logging.Peer(addr), logging.Reason(err.Error()))
		return
	}
	// A datagram that isn't sent is as good as one that was lost.
	_, _ = m.conn.WriteTo(datagram, to)
}

// listen takes datagrams until the connection is closed.
func (m *Mesh) listen(ctx context.Context) {
	buffer := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		from, in, err := m.receive(buffer)
		switch {
		case err == nil:
			m.take(from, in)
		case !errors.Is(err, net.ErrClosed):
			m.Log.Warn(logging.EventPeerUnreadable, logging.Peer(from), logging.Reason(err.Error()))
		}
	}
}

// receive waits for a datagram and reads it.
func (m *Mesh) receive(buffer []byte) (from string, in *message, err error) {
	n, addr, err := m.conn.ReadFrom(buffer)
	if err != nil {
		return "", nil, err
	}
	in = &message{}
	if err := cbor.Unmarshal(buffer[:n], in); err != nil {
		return addr.String(), nil, errors.Wrap(ErrForm, err.Error())
	}
	if in.From == "" {
		return addr.String(), nil, errors.Wrap(ErrForm, "no sender")
	}
	return addr.String(), in, nil
}

// take takes one datagram. A proof counts from the moment at which this
// gateway sent the stamp that comes back: however long the datagrams were on
// their way, the other's proof was as old as it says at a later moment.
func (m *Mesh) take(from string, in *message) {
	if in.From == m.Self.Name || !m.table.take(time.Now(), from, in) {
		return
	}
	age := time.Duration(in.ProofAge) * time.Millisecond
	stamp := time.Duration(in.Echo)
	if in.EchoBoot == m.boot && in.Version != 0 && age > 0 && stamp > age && stamp <= boottime.Now() {
		m.Prove(Proof{Version: in.Version, At: stamp - age})
	}
}

func hash(server string) uint32 { return uint32(xxhash.Sum64String(server)) }
