package peers

import (
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/applepier/applepier/internal/boottime"
	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/logging"
)

// broadcast sends a datagram to each other gateway.
func (m *Mesh) broadcast() {
	destinations := m.table.destinations()
	if len(destinations) == 0 {
		return
	}
	if m.Usage != nil {
		m.table.selectUsageReceivers(time.Now(), destinations)
	}
	encoded, err := cbor.Marshal(m.state())
	if err != nil {
		m.Log.Error(logging.EventPeerUnreadable, logging.Reason(err.Error()))
		return
	}
	m.sequence++
	out := message{From: m.Self.Name, Boot: m.boot, Sequence: m.sequence, Stamp: uint64(boottime.Now()), State: encoded}
	for i := range destinations {
		d := &destinations[i]
		out.Echo, out.EchoBoot, out.Usage = d.echo, d.boot, m.usageMessageFor(d)
		m.send(d.addr, &out)
	}
}

// state is what all others are told. The proof's age is of a moment before the
// datagram's stamp.
func (m *Mesh) state() *state {
	proof := m.Proof()
	known := m.Following()
	out := &state{Version: proof.Version, Follows: known.packed(), Servers: known.Servers, Quarantine: known.Quarantine}
	if proof.At > 0 {
		out.ProofAge = uint64((boottime.Now() - proof.At).Milliseconds() + 1)
	}
	for _, l := range m.Loads() {
		if l.Counts != (backend.Counts{}) {
			out.Loads = append(out.Loads, loadOf(l.Server, &l.Counts))
		}
	}
	for service, counts := range m.Shortages() {
		if packed := shortageOf(service, &counts); len(packed.Levels) > 0 {
			out.Shortages = append(out.Shortages, packed)
		}
	}
	news := m.News()
	out.Uses, out.Firsts, out.Pauses = usesOf(news.Uses), firstsOf(news.Firsts), pausesOf(news.Pauses)
	now := time.Now()
	out.Unanswered, out.Suspicions, out.Limits = news.Unanswered, suspicionsOf(now, news.Suspicions), limitsOf(now, news.Limits)
	return out
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
