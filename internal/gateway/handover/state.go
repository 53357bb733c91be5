// Package handover transfers data of the platform's store between gateways. A gateway that
// starts while it can't reach the store gets the desired state and the list of backend servers
// from a peer. Changes of the list are also fetched from peers, so that only a few gateways
// poll the store. Start reading at NewHandler, Client.Get and Client.Changes.
package handover

import "github.com/applepier/applepier/internal/gateway/backend"

// State is a gateway's copy of the desired state and the list of backend servers.
type State struct {
	_ struct{} `cbor:",toarray"`
	// Version is the version of the desired state; 0 if none is known.
	Version uint64
	// Document is the desired state as encoded by the platform.
	Document []byte
	// Servers is the list of backend servers; nil if it isn't known.
	Servers []backend.Info
}
