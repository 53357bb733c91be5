package peers

import (
	"context"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/boottime"
	"github.com/applepier/applepier/internal/logging"
	"github.com/applepier/applepier/policy"
)

// maxDatagram bounds a datagram in bytes; it holds some 4,000 servers.
const maxDatagram = 60 << 10

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
func (m *Mesh) receive(buffer []byte) (from string, in *received, err error) {
	n, addr, err := m.conn.ReadFrom(buffer)
	if err != nil {
		return "", nil, err
	}
	in, err = decode(buffer[:n])
	return addr.String(), in, err
}

// decode reads a datagram; ErrForm for one that isn't of this protocol.
func decode(datagram []byte) (*received, error) {
	in := &received{}
	if err := cbor.Unmarshal(datagram, &in.message); err != nil {
		return nil, errors.Wrap(ErrForm, err.Error())
	}
	if err := cbor.Unmarshal(in.State, &in.state); err != nil {
		return nil, errors.Wrap(ErrForm, err.Error())
	}
	if in.From == "" {
		return nil, errors.Wrap(ErrForm, "no sender")
	}
	return in, nil
}

// take takes one datagram. A proof counts from the moment at which this
// gateway sent the stamp that comes back: however long the datagrams were on
// their way, the other's proof was as old as it says at a later moment.
func (m *Mesh) take(from string, in *received) {
	now := time.Now()
	if in.From == m.Self.Name || !m.table.take(now, from, in) {
		return
	}
	m.receiveUsage(now, in)
	if len(in.Uses)+len(in.Firsts)+len(in.Pauses)+len(in.Unanswered)+len(in.Suspicions)+len(in.Limits) > 0 {
		m.Merge(policy.News{
			Uses: unpackUses(in.Uses), Firsts: unpackFirsts(in.Firsts), Pauses: unpackPauses(in.Pauses), Unanswered: in.Unanswered,
			Suspicions: unpackSuspicions(now, in.Suspicions), Limits: unpackLimits(now, in.Limits),
		})
	}
	age := time.Duration(in.ProofAge) * time.Millisecond
	stamp := time.Duration(in.Echo)
	if in.EchoBoot == m.boot && in.Version != 0 && age > 0 && stamp > age && stamp <= boottime.Now() {
		m.Prove(Proof{Version: in.Version, At: stamp - age})
	}
}
