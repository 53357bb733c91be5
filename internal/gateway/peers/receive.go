package peers

import (
	"context"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/boottime"
	"github.com/applepier/applepier/internal/logging"
	"github.com/applepier/applepier/internal/pause"
	"github.com/applepier/applepier/policy"
)

// maxDatagramBytes is the size of the receive buffer. A datagram of that size holds the loads at about
// 4,000 servers.
const maxDatagramBytes = 60 << 10

// readRetryDelay is the pause after an error of the socket, which may last.
const readRetryDelay = 50 * time.Millisecond

// receiveLoop receives and handles datagrams until ctx ends. It logs datagrams that it can't decode.
func (m *Mesh) receiveLoop(ctx context.Context) {
	buffer := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		addr, in, err := m.receive(buffer)
		switch {
		case err == nil && in != nil:
			m.handle(addr, in)
		case err == nil:
		case errors.Is(err, net.ErrClosed):
			return
		default:
			m.Log.Warn(logging.EventPeerUnreadable, logging.Peer(addr), logging.Reason(err.Error()))
			if addr == "" {
				// It is an error of the socket.
				pause.Sleep(ctx, readRetryDelay)
			}
		}
	}
}

// receive waits for a datagram and decodes it. It returns the sender's address, which is empty after an
// error of the socket, and that error or ErrMalformed. Datagrams of package origin are passed to
// HandleOrigin, and the message is nil for them.
func (m *Mesh) receive(buffer []byte) (addr string, in *decodedMessage, err error) {
	n, source, err := m.conn.ReadFrom(buffer)
	if err != nil {
		return "", nil, err
	}
	if isArray(buffer[:n]) && m.HandleOrigin != nil {
		return source.String(), nil, m.HandleOrigin(source.String(), buffer[:n])
	}
	in, err = decode(buffer[:n])
	return source.String(), in, err
}

// isArray reports whether a datagram is a CBOR array, as those of package origin are. Gossip is a map.
func isArray(datagram []byte) bool {
	// The high three bits of the first byte are the major type (RFC 8949, 3.1).
	const arrayType = 4
	return len(datagram) > 0 && datagram[0]>>5 == arrayType
}

// decode decodes a datagram; it returns ErrMalformed if that fails.
func decode(datagram []byte) (*decodedMessage, error) {
	in := &decodedMessage{}
	if err := cbor.Unmarshal(datagram, &in.message); err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	if err := cbor.Unmarshal(in.State, &in.sharedState); err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	if in.From == "" {
		return nil, errors.Wrap(ErrMalformed, "missing sender")
	}
	return in, nil
}

// handle processes one datagram. It dates a confirmation by subtracting its age from the echoed stamp,
// which this gateway sent before the peer measured the age. The peer's confirmation is therefore at
// least as recent as computed, however long both datagrams were in transit.
func (m *Mesh) handle(addr string, in *decodedMessage) {
	now := time.Now()
	if in.From == m.Self.Name || !m.table.update(now, addr, in) {
		return
	}
	m.receiveUsage(now, in)
	if len(in.PrefixUses)+len(in.FirstTokens)+len(in.Pauses)+len(in.EventIntervals)+len(in.PauseCounts)+len(in.Unanswered)+len(in.Suspicions)+len(in.SegmentSuspicions)+len(in.Limits) > 0 {
		m.MergeUpdates(policy.PeerUpdate{
			PrefixUses: unpackPrefixUses(in.PrefixUses), FirstTokens: unpackTTFTSamples(in.FirstTokens), Pauses: unpackPauses(in.Pauses), Unanswered: in.Unanswered,
			EventIntervals: unpackEventIntervals(in.EventIntervals), PauseCounts: unpackPauseCounts(in.PauseCounts),
			Suspicions: unpackSuspicions(now, in.Suspicions, in.SegmentSuspicions), Limits: unpackLimits(now, in.Limits),
		})
	}
	if at := m.confirmationTime(in, in.ConfirmationAge); at > 0 && in.StateVersion != 0 {
		m.Confirm(Confirmation{Version: in.StateVersion, At: at})
	}
	if at := m.confirmationTime(in, in.ServersAge); at > 0 {
		m.ConfirmServers(at, in.ServersPosition)
	}
}

// confirmationTime returns the time of a confirmation that was ageMillis old when the datagram was sent;
// 0 if there is none, or if it can't be dated.
func (m *Mesh) confirmationTime(in *decodedMessage, ageMillis uint64) time.Duration {
	stamp := time.Duration(in.Echo)
	if in.EchoBootID != m.bootID || ageMillis == 0 || stamp <= 0 || stamp > boottime.Now() || ageMillis >= uint64(stamp.Milliseconds()) {
		return 0
	}
	return stamp - time.Duration(ageMillis)*time.Millisecond
}
