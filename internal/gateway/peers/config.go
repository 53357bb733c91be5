// Package peers lets gateways tell each other, by datagram, what they have at
// each backend server and how certain they are of the desired state. A lost
// datagram is made good by the next. Start reading at Mesh.
package peers

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/policy"
)

// Errors of the exchange.
var (
	// ErrListen: the address for datagrams can't be listened on.
	ErrListen = errors.New("can't listen for datagrams")
	// ErrForm: a datagram isn't of this protocol.
	ErrForm = errors.New("datagram of another form")
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
	// Shortages returns what this gateway is short of, by service.
	Shortages func() map[string]policy.Shortage
	// News returns the updates for other gateways, and Merge merges one of theirs.
	News  func() policy.News
	Merge func(policy.News)
	// Proof returns this gateway's proof, and Prove takes another's.
	Proof func() Proof
	Prove func(Proof)
	// Following is what this gateway knows of the store first hand.
	Following func() Following
	// Usage is this gateway's part in the report of usage; nil where none is made.
	Usage *Usage
	Log   *zap.Logger
}

func hash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }
