package router

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/applepier/applepier/policy"
	"github.com/applepier/applepier/policy/zonerouting"
)

const (
	// zonePlanInterval is the time between two plans of a service's shares: a few intervals between
	// datagrams. A plan for 12 zones takes up to a quarter of a millisecond.
	zonePlanInterval = 300 * time.Millisecond
	// zoneRoundTrip stands for the round trip between any two zones, which takes one to three
	// milliseconds. The datagrams' echoed stamps don't show it: they include the time until the other
	// gateway's next datagram, some 50 ms.
	zoneRoundTrip = 2 * time.Millisecond
	// zoneResponseBytes stands for the length of a response: 50 events of 100 bytes.
	zoneResponseBytes = 5_000
	// minZoneShareChange and zoneShareLogInterval bound how often changes of a pair's share are
	// reported.
	minZoneShareChange   = 0.1
	zoneShareLogInterval = time.Second
	// zoneSampleWeight is the weight of a request in the mean sizes of requests.
	zoneSampleWeight = 1.0 / 64
)

// ZonePeers provides what other gateways report about their zones.
type ZonePeers interface {
	// ZoneOffers returns what the other gateways of each zone offer to a service, by ZoneKey.
	ZoneOffers(service string) map[uint16]policy.ZoneOffers
	ZoneKey(zone string) uint16
}

// ZoneShareChange is a change of the share of this zone's requests that is sent to another zone.
type ZoneShareChange struct {
	Service  string
	From, To zonerouting.Zone
	// Before and Share are the shares at the last report and now.
	Before float64
	Share  zonerouting.Share
	// CrossingCost is how much sooner a request must be served in the other zone.
	CrossingCost time.Duration
}

// ZoneShare is the share of this zone's requests for a service that is sent to another zone.
type ZoneShare struct {
	Service, From, To string
	zonerouting.Share
}

// zoneRouting is the plan of one service's shares, and what it is computed from. The zero value is
// ready to use.
type zoneRouting struct {
	planner      zonerouting.Planner
	plannedAt    time.Time
	shares       map[[2]string]zonerouting.Share
	destinations []zonerouting.Destination
	// prefillTokens are the mean numbers of tokens that are prefilled for a request of each urgency
	// level, and requestBytes the mean length of a request and its response; 0 before the first one.
	prefillTokens [policy.UrgencyLevels]float64
	requestBytes  float64
	// reported are the last reported shares and their times, by zone.
	reported map[string]reportedShare
}

type reportedShare struct {
	fraction float64
	at       time.Time
}

// observeSent records the size of a request that is sent to a server.
func (z *zoneRouting) observeSent(urgency, prefillTokens, bodyBytes int) {
	addSample(&z.prefillTokens[urgency], float64(prefillTokens))
	addSample(&z.requestBytes, float64(bodyBytes+zoneResponseBytes))
}

// addSample adds a sample to an exponentially decaying mean, which is 0 before the first one.
func addSample(mean *float64, sample float64) {
	if *mean == 0 {
		*mean = sample
	}
	*mean += zoneSampleWeight * (sample - *mean)
}

// demand returns the requests and the tokens to prefill that are offered per second.
func (z *zoneRouting) demand(counts *policy.OfferCounts) (requests, tokens float64) {
	// The size of a level that this gateway hasn't sent counts as that of its largest: with 0, two
	// zones that offer different levels would each take the other for idle and send there.
	largest := slices.Max(z.prefillTokens[:])
	for urgency, rate := range counts.Rates() {
		size := z.prefillTokens[urgency]
		if size == 0 {
			size = largest
		}
		if size > 0 {
			requests, tokens = requests+rate, tokens+rate*size
		}
	}
	return requests, tokens
}

// crossingCost returns the cost of sending a request to another zone.
func (z *zoneRouting) crossingCost(price float64) time.Duration {
	return zonerouting.Price(price).CrossingCost(z.link(true))
}

func (z *zoneRouting) link(usable bool) zonerouting.Link {
	return zonerouting.Link{RoundTrip: zoneRoundTrip, Usable: usable, RequestBytes: z.requestBytes}
}

// assignZone sets the zone to which the plan assigns a request. It does nothing if there is no price.
func (r *Router) assignZone(service string, job *policy.Job, loads []policy.Server) {
	if r.ZonePrice == nil {
		return
	}
	for _, change := range r.drawZone(time.Now(), service, job, loads) {
		r.Observer.ZoneShareChanged(change)
	}
}

// drawZone draws the request's zone, after planning if that is due, and returns the changes of shares
// to be reported.
func (r *Router) drawZone(now time.Time, service string, job *policy.Job, loads []policy.Server) []ZoneShareChange {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.serviceFor(service)
	z := &s.zones
	var changes []ZoneShareChange
	if now.Sub(z.plannedAt) >= zonePlanInterval {
		z.plannedAt = now
		zones, usable := r.zoneStates(now, service, s, loads)
		z.shares = z.planner.Plan(now, zones, func(_, to string) zonerouting.Link { return z.link(usable[to]) }, zonerouting.Price(*r.ZonePrice))
		z.destinations = zonerouting.Destinations(r.Zone, z.shares)
		changes = z.changesToReport(now, service, r.Zone, zones)
		for i := range changes {
			changes[i].CrossingCost = z.crossingCost(*r.ZonePrice)
		}
	}
	job.PlannedZone = zonerouting.Draw(r.Random.Float64(), r.Zone, z.destinations)
	job.CrossingCost = z.crossingCost(*r.ZonePrice)
	return changes
}

// zoneStates returns the state of the service's zones, and those to which requests can be sent: they
// have a usable server, and datagrams of their gateways have arrived. r.mu must be held.
func (r *Router) zoneStates(now time.Time, service string, s *serviceState, loads []policy.Server) ([]zonerouting.Zone, map[string]bool) {
	rate := s.knownPrefillRate()
	offers := r.ZonePeers.ZoneOffers(service)
	ownCounts := s.offerCounter.Counts(now)
	var zones []zonerouting.Zone
	index := map[string]int{}
	add := func(name string, key uint16) *zonerouting.Zone {
		i, known := index[name]
		if !known {
			i = len(zones)
			index[name] = i
			zone := offers[key]
			delete(offers, key)
			zones = append(zones, zonerouting.Zone{Name: name, KnownAt: zone.KnownAt})
			if name == r.Zone {
				zones[i].KnownAt = now
				zone.Counts.Add(&ownCounts, 1)
			}
			requests, tokens := s.zones.demand(&zone.Counts)
			zones[i].Demand = tokens
			if requests > 0 {
				zones[i].RequestTime = time.Duration(tokens / requests / rate * float64(time.Millisecond))
			}
		}
		return &zones[i]
	}
	add(r.Zone, r.ZonePeers.ZoneKey(r.Zone))
	for i := range loads {
		l := &loads[i]
		zone := add(l.Zone, r.ZonePeers.ZoneKey(l.Zone))
		if l.Draining || r.unresponsive.Excluded(now, policy.KeyOf(l.Name)) || r.Ejector.Ejected(now, l.Name) || r.backoffs.Left(now, l.Instance) > 0 {
			// What waits there doesn't delay requests at the other servers.
			continue
		}
		for _, level := range l.Pending {
			zone.Waiting += float64(level.Tokens)
		}
		zone.Capacity += rate * 1000 / s.serverSpeeds.estimator.Slowdown(now, policy.KeyOf(l.Name))
	}
	// Gateways in zones without servers.
	for key := range offers {
		add("#"+strconv.Itoa(int(key)), key)
	}
	usable := map[string]bool{}
	for i := range zones {
		usable[zones[i].Name] = zones[i].Capacity > 0 && !zones[i].KnownAt.IsZero()
		if zones[i].RequestTime == 0 {
			// The zone has no demand of its own; requests of the own zone would be sent there.
			zones[i].RequestTime = zones[0].RequestTime
		}
	}
	return zones, usable
}

// knownPrefillRate returns the servers' prefill rate in tokens per millisecond: the highest one of the
// urgency levels with enough samples, since the others' rates include waits for more urgent requests.
func (s *serviceState) knownPrefillRate() float64 {
	highest := 0.0
	for i := range s.prefillRates {
		if rate, known := s.prefillRates[i].TokensPerMillisecond(); known {
			highest = max(highest, rate)
		}
	}
	if highest == 0 {
		highest, _ = s.prefillRates[0].TokensPerMillisecond()
	}
	return highest
}

// changesToReport returns the changes of the own zone's shares since they were last reported.
func (z *zoneRouting) changesToReport(now time.Time, service, own string, zones []zonerouting.Zone) []ZoneShareChange {
	if z.reported == nil {
		z.reported = map[string]reportedShare{}
	}
	var changes []ZoneShareChange
	for _, zone := range zones[1:] {
		share, last := z.shares[[2]string{own, zone.Name}], z.reported[zone.Name]
		if math.Abs(share.Fraction-last.fraction) < minZoneShareChange || now.Sub(last.at) < zoneShareLogInterval {
			continue
		}
		z.reported[zone.Name] = reportedShare{share.Fraction, now}
		changes = append(changes, ZoneShareChange{Service: service, From: zones[0], To: zone, Before: last.fraction, Share: share})
	}
	return changes
}

// ZoneShares returns the shares of this gateway's zone that the last plans contain.
func (r *Router) ZoneShares() []ZoneShare {
	r.mu.Lock()
	defer r.mu.Unlock()
	shares := []ZoneShare{}
	for service, s := range r.services {
		for pair, share := range s.zones.shares {
			if pair[0] == r.Zone {
				shares = append(shares, ZoneShare{service, pair[0], pair[1], share})
			}
		}
	}
	return shares
}
