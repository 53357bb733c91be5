// Package peers exchanges datagrams between gateways. Most are gossip: they hold the sender's load at
// the backend servers, when it last confirmed its desired state, and what it has observed of servers,
// requests and the store. A lost one isn't retransmitted: the next one holds the sender's state again,
// and a few lost observations don't matter. The others are those of package origin. Start reading at
// Mesh.
package peers

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/follow"
	"github.com/applepier/applepier/policy"
)

// Errors of this package.
var (
	// ErrListen means that the datagram address can't be bound.
	ErrListen = errors.New("can't listen for datagrams")
	// ErrMalformed means that a datagram can't be decoded.
	ErrMalformed = errors.New("malformed datagram")
)

// Entry is a gateway's entry in the platform's list of gateways.
type Entry struct {
	// Name is the VM's name; Addr is the host:port that receives datagrams.
	Name string
	Addr string
}

// Load is a gateway's load at one backend server.
type Load struct {
	// Server is the server's ID.
	Server string
	Counts backend.Counts
}

// Confirmation states when a gateway's version of the desired state was last known to be the
// newest.
type Confirmation struct {
	Version uint64
	// At is the time of the confirmation on the boottime clock; 0 means never.
	At time.Duration
}

// Config holds a Mesh's dependencies.
type Config struct {
	Self Entry
	// Zone is this gateway's availability zone.
	Zone string
	// PlansZones is whether this gateway plans the zones' shares, for which its datagrams hold its zone.
	PlansZones bool
	// Loads returns this gateway's load by backend server; servers without load may be omitted.
	Loads func() []Load
	// OwnOfferCounts returns this gateway's counts of offers, by service.
	OwnOfferCounts func() map[string]policy.OfferCounts
	// TakeUpdates returns the updates to send to other gateways in the next datagram; MergeUpdates
	// merges the updates of another gateway.
	TakeUpdates  func() policy.PeerUpdate
	MergeUpdates func(policy.PeerUpdate)
	// Confirmation returns this gateway's confirmation; Confirm is called with a confirmation
	// derived from another gateway's datagram.
	Confirmation func() Confirmation
	Confirm      func(Confirmation)
	// HandleOrigin processes a datagram about the origin of a stream (see package origin) from the
	// gateway at addr. The datagram is valid until it returns.
	HandleOrigin func(addr string, datagram []byte) error
	// ConfirmServers records that the store had no change of the list of backend servers after a
	// position at a time of the boottime clock.
	ConfirmServers func(at time.Duration, newest follow.Position)
	// StoreStatus returns what this gateway has observed of the store.
	StoreStatus func() StoreStatus
	// Usage connects the Mesh to usage reporting; nil if usage reporting is disabled.
	Usage *UsageExchange
	Log   *zap.Logger
}

// hashName returns the hash by which datagrams identify a backend server, given its ID, or a service,
// given its name. It also defines the order of gateways.
func hashName(name string) uint32 { return uint32(xxhash.Sum64String(name)) }
