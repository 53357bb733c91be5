// Package peers exchanges datagrams between gateways: the load that each has at the backend
// servers, and how recently each confirmed its desired state. A lost datagram isn't
// retransmitted; the next one makes up for it. Start reading at Mesh.
package peers

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/gateway/backend"
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
	// Loads returns this gateway's load by backend server; servers without load may be omitted.
	Loads func() []Load
	// OwnOfferCounts returns this gateway's counts of offers, by service.
	OwnOfferCounts func() map[string]policy.OfferCounts
	// TakeUpdates returns the updates to send to other gateways; MergeUpdates merges the
	// updates of another gateway.
	TakeUpdates  func() policy.PeerUpdate
	MergeUpdates func(policy.PeerUpdate)
	// Confirmation returns this gateway's confirmation; Confirm is called with a confirmation
	// derived from another gateway's datagram.
	Confirmation func() Confirmation
	Confirm      func(Confirmation)
	// StoreStatus returns what this gateway has observed of the store.
	StoreStatus func() StoreStatus
	// Usage connects the exchange to usage reporting; nil if usage isn't reported.
	Usage *UsageExchange
	Log   *zap.Logger
}

func hashName(name string) uint32 { return uint32(xxhash.Sum64String(name)) }
