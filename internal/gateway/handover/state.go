// Package handover lets gateways have what is in the platform's store from one another:
// the desired state and the list of backend servers where a gateway starts while the
// store is away or turns it away, and what changes in the list of servers, so that a few
// gateways ask the store for all. Start reading at Routes, Client.Get and
// Client.Changes.
package handover

import "github.com/applepier/applepier/internal/gateway/backend"

// State is what a gateway hands to another.
type State struct {
	_ struct{} `cbor:",toarray"`
	// Version is the desired state's; 0 when none is known.
	Version uint64
	// Document is the desired state as the platform wrote it.
	Document []byte
	// Servers is the list of backend servers; nil when it isn't known.
	Servers []backend.Info
}
