package peers

import (
	"time"

	"github.com/applepier/applepier/policy"
)

// ZoneOffers returns what the other gateways of each zone offer to a service, by ZoneKey. Gateways that
// don't plan the zones' shares are left out.
func (m *Mesh) ZoneOffers(service string) map[uint16]policy.ZoneOffers {
	return m.table.zoneOffers(time.Now(), hashName(service))
}

// ZoneKey returns the key of a zone in ZoneOffers.
func (m *Mesh) ZoneKey(zone string) uint16 { return zoneKey(zone) }

func (t *table) zoneOffers(now time.Time, service uint32) map[uint16]policy.ZoneOffers {
	t.mu.Lock()
	defer t.mu.Unlock()
	zones := map[uint16]policy.ZoneOffers{}
	for _, p := range t.peers {
		if p.demandZone == 0 {
			continue
		}
		zone := zones[p.demandZone]
		if p.isLive(now) {
			// The counts of a gateway that isn't live are gone, so that their age doesn't matter.
			if !zone.Live || p.lastReceived.Before(zone.KnownAt) {
				zone.KnownAt = p.lastReceived
			}
			zone.Live = true
			for i := range p.offerCounts {
				if p.offerCounts[i].Service == service {
					counts := p.offerCounts[i].unpack()
					zone.Counts.Add(&counts, 1)
				}
			}
		} else if !zone.Live && p.lastReceived.After(zone.KnownAt) {
			zone.KnownAt = p.lastReceived
		}
		zones[p.demandZone] = zone
	}
	return zones
}
