package peers

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/follow"
	"github.com/applepier/applepier/policy"
)

// message is the content of one datagram. Its fields, and those of sharedState, are encoded
// under numbers, so that gateways of two releases understand each other during a rolling
// update: unknown fields are ignored, and missing ones are zero. A number is never reused for
// another field.
type message struct {
	// From is the sender's name, and BootID identifies its instance: one run of its process. Loads
	// of an earlier instance are void; Sequence orders the datagrams of one instance.
	From     string `cbor:"1,keyasint"`
	BootID   uint64 `cbor:"2,keyasint"`
	Sequence uint64 `cbor:"3,keyasint"`
	// Stamp is the sender's boottime clock in nanoseconds. Echo is the last Stamp received from
	// the receiver, and EchoBootID the receiver's BootID at that time, because a VM's clock
	// restarts with the VM. Both are 0 if nothing was received.
	Stamp      uint64 `cbor:"4,keyasint"`
	Echo       uint64 `cbor:"5,keyasint,omitempty"`
	EchoBootID uint64 `cbor:"6,keyasint,omitempty"`
	// State is the encoded sharedState, identical for all receivers.
	State cbor.RawMessage `cbor:"7,keyasint"`
	// Usage holds the usage data for this receiver; nil if this datagram has none.
	Usage *usageMessage `cbor:"8,keyasint,omitempty"`
}

// sharedState is the part of a datagram that is the same for all receivers.
type sharedState struct {
	// StateVersion is the version of the desired state in force at the sender; 0 if there is
	// none. ConfirmationAge is the time in milliseconds since that version was known to be the
	// newest; 0 if it never was.
	StateVersion    uint64 `cbor:"1,keyasint,omitempty"`
	ConfirmationAge uint64 `cbor:"2,keyasint,omitempty"`
	// StoreMode tells whether the sender polls the store. ServersPosition is the position after
	// the newest change of the list of backend servers that the sender knows; 0 if there is
	// none.
	StoreMode       storeMode       `cbor:"3,keyasint,omitempty"`
	ServersPosition follow.Position `cbor:"4,keyasint,omitempty"`
	// Loads is the sender's load by backend server; servers without load are omitted.
	Loads []serverLoad `cbor:"5,keyasint,omitempty"`
	// OfferCounts holds the counts of offers of the services for which the sender recently had
	// requests.
	OfferCounts []offerCounts `cbor:"6,keyasint,omitempty"`
	// PrefixUses lists the prompt segments that the sender recently sent to servers, and those that
	// servers have prefilled.
	PrefixUses []prefixUse `cbor:"7,keyasint,omitempty"`
	// FirstTokens holds the times to first token of the responses that started at the sender since
	// its last datagram.
	FirstTokens []ttftSample `cbor:"8,keyasint,omitempty"`
	// Pauses holds the longest pause of each stream that ended at the sender since its last datagram.
	Pauses []longestPause `cbor:"9,keyasint,omitempty"`
	// Unanswered lists the servers that didn't respond to a request since the sender's last
	// datagram, one entry for each such request.
	Unanswered []policy.Key `cbor:"10,keyasint,omitempty"`
	// Suspicions lists requests during which backend servers crashed.
	Suspicions []suspicion `cbor:"11,keyasint,omitempty"`
	// Limits lists the rate limits that servers have stated, with the number of requests that the
	// sender recently sent to each.
	Limits []serverLimit `cbor:"12,keyasint,omitempty"`
	// QuarantineKnown is whether the sender knows the quarantined requests. Receivers of earlier
	// releases go by it.
	QuarantineKnown bool `cbor:"13,keyasint,omitempty"`
	// Zone announces, in some datagrams, that the sender holds records for others, and the zoneKey of
	// its zone; 0 in the other datagrams.
	Zone uint16 `cbor:"14,keyasint,omitempty"`
	// SegmentSuspicions lists prompt segments during which backend servers crashed.
	SegmentSuspicions []segmentSuspicion `cbor:"15,keyasint,omitempty"`
	// SegmentsKnown is whether the sender knows the quarantined requests and segments.
	SegmentsKnown bool `cbor:"16,keyasint,omitempty"`
	// ServersAge is the time in milliseconds since the store had no change of the list of backend
	// servers after ServersPosition; 0 if the sender doesn't poll the store.
	ServersAge uint64 `cbor:"17,keyasint,omitempty"`
	// EventIntervals holds the mean time between events of streams at the sender since
	// its last datagram, by server; at most policy.MaxEventIntervals.
	EventIntervals []eventInterval `cbor:"18,keyasint,omitempty"`
	// DemandZone announces, in some datagrams, that the sender plans the zones' shares, and the zoneKey
	// of its zone; 0 in the other datagrams.
	DemandZone uint16 `cbor:"19,keyasint,omitempty"`
	// PauseCounts counts the streams that exceeded their target for pauses, and those that ended
	// without, at the sender since its last datagram.
	PauseCounts []pauseCounts `cbor:"20,keyasint,omitempty"`
}

// decodedMessage is a datagram with its decoded sharedState.
type decodedMessage struct {
	message
	sharedState
}

// serverLoad is the encoded form of Load.
type serverLoad struct {
	_ struct{} `cbor:",toarray"`
	// Server is the hash of the server's ID.
	Server  uint32
	Running uint32
	// Pending is the work that waits for its first token; urgency levels without such work are
	// omitted.
	Pending []pendingWork
}

// pendingWork is the work waiting for its first token at one urgency level.
type pendingWork struct {
	_        struct{} `cbor:",toarray"`
	Urgency  uint8
	Requests uint32
	Tokens   uint32
}

// packLoad encodes the load at a server.
func packLoad(server string, counts *backend.Counts) serverLoad {
	packed := serverLoad{Server: hashName(server), Running: uint32(max(counts.Running, 0))}
	for urgency, level := range counts.Pending {
		if level.Requests > 0 {
			packed.Pending = append(packed.Pending, pendingWork{Urgency: uint8(urgency), Requests: uint32(level.Requests), Tokens: uint32(max(level.Tokens, 0))})
		}
	}
	return packed
}

// addTo adds the load to counts, or subtracts it if sign is -1. An unknown urgency level is
// mapped to the least urgent one.
func (l *serverLoad) addTo(counts *backend.Counts, sign int) {
	counts.Running += sign * int(l.Running)
	for _, work := range l.Pending {
		dst := &counts.Pending[min(int(work.Urgency), len(counts.Pending)-1)]
		dst.Requests += sign * int(work.Requests)
		dst.Tokens += sign * int(work.Tokens)
	}
}
