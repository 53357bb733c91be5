package peers

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/follow"
	"github.com/applepier/applepier/policy"
)

// message is one datagram. Its fields, and those of the state, have numbers for names:
// gateways of two releases understand each other while one is rolled out, since a field
// that a release doesn't know is passed over, and one that isn't there is zero. A number
// is never used again for something else.
type message struct {
	// From is the sender's name, Boot its start: the counts of an earlier
	// start are void, and Sequence orders those of one.
	From     string `cbor:"1,keyasint"`
	Boot     uint64 `cbor:"2,keyasint"`
	Sequence uint64 `cbor:"3,keyasint"`
	// Stamp is the sender's clock; Echo is the last stamp that it had from
	// the receiver, and EchoBoot the receiver's start then: a VM's clock
	// begins anew when the VM does. Both are 0 when there was none.
	Stamp    uint64 `cbor:"4,keyasint"`
	Echo     uint64 `cbor:"5,keyasint,omitempty"`
	EchoBoot uint64 `cbor:"6,keyasint,omitempty"`
	// State is the encoded state, the same for all receivers.
	State cbor.RawMessage `cbor:"7,keyasint"`
	// Usage is the receiver's part on usage, where it is reported.
	Usage *usageMessage `cbor:"8,keyasint,omitempty"`
}

// state is what a gateway tells all others alike.
type state struct {
	// Version is the desired state in force at the sender, 0 for none, and
	// ProofAge how old its proof is that there is no newer one, in
	// milliseconds; 0 for no proof.
	Version  uint64 `cbor:"1,keyasint,omitempty"`
	ProofAge uint64 `cbor:"2,keyasint,omitempty"`
	// Follows is whether the sender asks the store, and Servers the position after the
	// newest change in the list of backend servers that it knows of, 0 for none.
	Follows following       `cbor:"3,keyasint,omitempty"`
	Servers follow.Position `cbor:"4,keyasint,omitempty"`
	// Loads is what the sender has at backend servers; others have nothing.
	Loads []load `cbor:"5,keyasint,omitempty"`
	// Shortages are of the services at which the sender had requests lately.
	Shortages []shortage `cbor:"6,keyasint,omitempty"`
	// Uses are the parts of prompts that servers were sent or have read lately.
	Uses []use `cbor:"7,keyasint,omitempty"`
	// Firsts are the first tokens that the sender had since its last datagram.
	Firsts []first `cbor:"8,keyasint,omitempty"`
	// Pauses are of the streams that ended at the sender since its last datagram.
	Pauses []longestPause `cbor:"9,keyasint,omitempty"`
	// Unanswered are the servers of requests that got no answer since then.
	Unanswered []policy.Key `cbor:"10,keyasint,omitempty"`
	// Suspicions are of requests under which servers ended.
	Suspicions []suspicion `cbor:"11,keyasint,omitempty"`
	// Limits are those that servers have named, with what the sender sent there.
	Limits []limit `cbor:"12,keyasint,omitempty"`
	// Quarantine says that the sender knows which requests are quarantined.
	Quarantine bool `cbor:"13,keyasint,omitempty"`
}

// received is a datagram with its state.
type received struct {
	message
	state
}

// load is what a gateway has at one backend server.
type load struct {
	_ struct{} `cbor:",toarray"`
	// Server is the hash of the server's id.
	Server  uint32
	Running uint32
	// Pending is what waits for its first token; levels of urgency at which
	// nothing does are left out.
	Pending []pending
}

// pending is what waits at one level of urgency.
type pending struct {
	_        struct{} `cbor:",toarray"`
	Urgency  uint8
	Requests uint32
	Tokens   uint32
}

// loadOf packs counts.
func loadOf(server string, c *backend.Counts) load {
	l := load{Server: hash(server), Running: uint32(max(c.Running, 0))}
	for urgency, level := range c.Pending {
		if level.Requests > 0 {
			l.Pending = append(l.Pending, pending{Urgency: uint8(urgency), Requests: uint32(level.Requests), Tokens: uint32(max(level.Tokens, 0))})
		}
	}
	return l
}

// addTo adds what a gateway has to counts, or takes it away where sign is -1. A
// level that isn't known here counts as the least urgent.
func (l *load) addTo(c *backend.Counts, sign int) {
	c.Running += sign * int(l.Running)
	for _, p := range l.Pending {
		level := &c.Pending[min(int(p.Urgency), len(c.Pending)-1)]
		level.Requests += sign * int(p.Requests)
		level.Tokens += sign * int(p.Tokens)
	}
}
