package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"
	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/logging"
	"github.com/applepier/applepier/policy"
)

// Paths and parameters with which operators list and lift quarantines.
const (
	pathQuarantine   = "/quarantine"
	paramKind        = "kind"
	paramID          = "id"
	kindRequest      = "request"
	kindSegment      = "segment"
	quarantineFormat = time.RFC3339Nano
)

// quarantineEntry is a quarantined request or prompt segment as operators see it.
type quarantineEntry struct {
	Kind string `json:"kind"`
	// ID is the request's fingerprint or the segment's ID in hexadecimal.
	ID string `json:"id"`
	// ServersEnded is the number of servers that are known to have ended, LastCrash when the last one
	// did, and LastSeen when such a request last arrived at any gateway.
	ServersEnded int    `json:"servers_ended"`
	LastCrash    string `json:"last_crash"`
	LastSeen     string `json:"last_seen"`
}

// addQuarantineRoutes adds the routes that list what is quarantined and lift a quarantine. Lifting
// applies at all gateways that this one reaches, until servers end again.
func (g *gateway) addQuarantineRoutes(mux *httprouter.Router) {
	mux.GET(pathQuarantine, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		entries := []quarantineEntry{}
		for _, s := range g.router.Quarantined() {
			kind := kindRequest
			if s.ID.Segment {
				kind = kindSegment
			}
			entries = append(entries, quarantineEntry{
				Kind: kind, ID: s.ID.String(), ServersEnded: len(s.Crashes),
				LastCrash: s.LastCrash().UTC().Format(quarantineFormat), LastSeen: s.Seen.UTC().Format(quarantineFormat),
			})
		}
		w.Header().Set("Content-Type", "application/json")
		// If this fails, the operator has disconnected.
		_ = json.NewEncoder(w).Encode(entries)
	})
	mux.DELETE(pathQuarantine+"/:"+paramKind+"/:"+paramID, func(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
		hash, err := strconv.ParseUint(params.ByName(paramID), 16, 64)
		kind := params.ByName(paramKind)
		id := policy.SuspectID{Hash: hash, Segment: kind == kindSegment}
		switch {
		case err != nil || kind != kindSegment && kind != kindRequest:
			w.WriteHeader(http.StatusBadRequest)
		case !g.router.LiftQuarantine(id):
			w.WriteHeader(http.StatusNotFound)
		default:
			g.log.Warn(logging.EventQuarantineLifted, zap.Stringer("fingerprint", id), zap.Bool("segment", id.Segment))
			w.WriteHeader(http.StatusNoContent)
		}
	})
}
