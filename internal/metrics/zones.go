package metrics

import "math"

// ZoneShare is the share of a zone's requests for a service that a gateway of the zone sends to another
// zone.
type ZoneShare struct {
	Service, From, To string
	// Fraction is from 0 to 1.
	Fraction float64
}

// updateZones sets the gauges of the price and the shares; there are none without a price. A pair that
// isn't planned any more has a share of 0.
func (m *Metrics) updateZones(stats *GatewayStats, known map[ZoneShare]bool) {
	if stats.ZonePrice == nil {
		return
	}
	gauge(m.registry, familyZonePrice).Update(int64(math.Round(1000 * *stats.ZonePrice)))
	for pair := range known {
		m.zoneShareGauge(pair, 0)
	}
	for _, share := range stats.ZoneShares {
		m.zoneShareGauge(share, share.Fraction)
		share.Fraction = 0
		known[share] = true
	}
}

func (m *Metrics) zoneShareGauge(s ZoneShare, fraction float64) {
	gauge(m.registry, familyZoneShare, label{name: labelService, value: s.Service}, label{name: labelFrom, value: s.From}, label{name: labelTo, value: s.To}).Update(int64(math.Round(1000 * fraction)))
}
