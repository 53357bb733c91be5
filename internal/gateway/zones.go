package gateway

import (
	"encoding/json"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/applepier/applepier/internal/metrics"
)

// pathZones is where operators see the price of traffic between zones and the shares that follow.
const pathZones = "/zones"

// zonesStatus is the response at pathZones.
type zonesStatus struct {
	// Price is the setting zones.price; null if there is none.
	Price  *float64          `json:"price"`
	Shares []zoneShareStatus `json:"shares"`
}

// zoneShareStatus is the share of this zone's requests for a service that is sent to another zone.
type zoneShareStatus struct {
	Service string  `json:"service"`
	From    string  `json:"from"`
	To      string  `json:"to"`
	Share   float64 `json:"share"`
	Reason  string  `json:"reason"`
}

func (g *gateway) serveZones(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	status := zonesStatus{Price: g.settings.Zones.Price, Shares: []zoneShareStatus{}}
	for _, s := range g.router.ZoneShares() {
		status.Shares = append(status.Shares, zoneShareStatus{s.Service, s.From, s.To, s.Fraction, string(s.Reason)})
	}
	w.Header().Set("Content-Type", "application/json")
	// If this fails, the operator has disconnected.
	_ = json.NewEncoder(w).Encode(status)
}

// zoneShares returns the shares as metrics.
func (g *gateway) zoneShares() []metrics.ZoneShare {
	var shares []metrics.ZoneShare
	for _, s := range g.router.ZoneShares() {
		shares = append(shares, metrics.ZoneShare{Service: s.Service, From: s.From, To: s.To, Fraction: s.Fraction})
	}
	return shares
}
