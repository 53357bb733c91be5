// Package handover lets gateways that can't reach the platform's store have the
// desired state and the list of backend servers from one that knows them: one
// that starts while the store is away, or that the store turns away while others
// are served. Start
// reading at Routes and Client.Get.
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
