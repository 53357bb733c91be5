package gateway

import (
	"context"

	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/follow"
	"github.com/applepier/applepier/internal/gateway/peers"
	"github.com/applepier/applepier/internal/gateway/protocol"
	"github.com/applepier/applepier/internal/gateway/routes"
	"github.com/applepier/applepier/internal/gateway/usage"
	"github.com/applepier/applepier/internal/metrics"
	"github.com/applepier/applepier/internal/storage"
)

// Platform is what a gateway needs of the platform that it runs on.
type Platform struct {
	// Desired is the operators' desired state; items may be nil.
	Desired follow.Source[*routes.Set]
	// Decode reads a desired state as the platform wrote it, which is what
	// gateways hand to each other.
	Decode func(document []byte) (*routes.Set, error)
	// Servers is the list of backend servers.
	Servers follow.Source[backend.Info]
	// Entries is the list of gateways, in which Register enters one and from
	// which Unregister removes one.
	Entries    follow.Source[peers.Entry]
	Register   func(ctx context.Context, self peers.Entry) error
	Unregister func(ctx context.Context, name string) error
	Quarantine Quarantine
	// Duties is the table of what is done by one gateway at a time, and Usage takes
	// reports of usage; nil where none are to be made.
	Duties storage.Table
	Usage  usage.Platform
	// Dialect is the HTTP that callers and backend servers speak.
	Dialect protocol.Dialect
	// Metrics counts, also the calls to the platform.
	Metrics *metrics.Metrics
}
