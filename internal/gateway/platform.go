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

// Platform holds the functions and services of the platform that a gateway depends on.
type Platform struct {
	// DesiredState is the source of the operators' desired state; its items may be nil.
	DesiredState follow.Source[*routes.Snapshot]
	// Decode decodes a desired state document as the platform wrote it, which is the form that
	// gateways hand over to each other.
	Decode func(document []byte) (*routes.Snapshot, error)
	// Servers is the source of the list of backend servers.
	Servers follow.Source[backend.Info]
	// Gateways is the source of the list of gateways. Register adds a gateway to the list,
	// Unregister removes one.
	Gateways   follow.Source[peers.Entry]
	Register   func(ctx context.Context, self peers.Entry) error
	Unregister func(ctx context.Context, name string) error
	Quarantine QuarantineStore
	// Duties is the table of the leases for duties, each held by one gateway at a time. Usage
	// receives usage reports. Both are nil if usage reporting is disabled.
	Duties storage.Table
	Usage  usage.Platform
	// Dialect reads and writes the HTTP headers used by callers and backend servers.
	Dialect protocol.Dialect
	// Metrics holds the process's counters, including those for calls to the platform.
	Metrics *metrics.Metrics
}
