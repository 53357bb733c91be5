package zonerouting_test

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/applepier/applepier/policy"
	"github.com/applepier/applepier/policy/zonerouting"
)

const (
	modelRate      = 51.0 // tokens per millisecond, of the first deployment
	modelTarget    = 800 * time.Millisecond
	meanTokens     = 2890.0
	prefixTokens   = 6300
	bytesPerToken  = 4.0
	roundTrip      = 2 * time.Millisecond
	requestTime    = 57 * time.Millisecond // meanTokens at modelRate
	reportInterval = 100 * time.Millisecond
	planInterval   = 300 * time.Millisecond
	warmUp         = 5 * time.Second // nothing is measured before
)

// scenario describes a play of the queueing model: prompts arrive at the gateways of several zones,
// and each server prefills one prompt at a time.
type scenario struct {
	servers  []int // by zone
	gateways int
	// demand returns the work offered in a zone, relative to the capacity of all servers.
	demand func(zone int, at time.Duration) float64
	// lostAt is when the last zone ends and its callers turn to the others; 0 for never.
	lostAt time.Duration
	// hotShare is the part of the first zone's requests that have a shared prefix.
	hotShare float64
	// otherZonesAge is by how much what gateways know of other zones is older than a report.
	otherZonesAge time.Duration
	price         zonerouting.Price
}

// way is how servers are chosen: as if all were in one zone, with the fixed cost of a crossing, or by
// plan.
type way int

const (
	onePool way = iota
	fixedCost
	byPlan
)

type modelGateway struct {
	zone    int
	planner zonerouting.Planner
	shares  map[[2]string]zonerouting.Share
	// planned is when the last plan was made, and sent the tokens sent since report, by server.
	planned time.Duration
	report  int
	sent    map[int]int
}

// report is what gateways tell each other: the servers' loads and the zones' demands.
type report struct {
	servers []policy.Server
	demands []float64
}

type model struct {
	scenario
	way       way
	random    *rand.Rand // of the arrivals, which are the same for all ways
	draws     *rand.Rand
	chooser   *policy.Chooser
	index     *policy.PrefixIndex
	rate      policy.PrefillRate
	zones     []int // by server
	busyUntil []time.Duration
	cached    []bool
	gateways  []*modelGateway
	reports   []report
	offered   []float64 // tokens by zone, decaying over half a second

	arrived, onTime int
	crossedBytes    float64
	// opposed counts the plans of a gateway that send to a zone while the plan of a gateway there sends
	// back.
	opposed int
}

var modelStart = time.Unix(1_000_000, 0)

func newModel(s scenario, w way) *model {
	m := &model{scenario: s, way: w, random: rand.New(rand.NewPCG(11, 7)), draws: rand.New(rand.NewPCG(2, 9)), offered: make([]float64, len(s.servers))}
	m.index = policy.NewPrefixIndex()
	m.chooser = policy.NewChooser(rand.New(rand.NewPCG(3, 5)), policy.NewEjector(), m.index)
	for zone, n := range s.servers {
		for range n {
			m.zones = append(m.zones, zone)
		}
	}
	m.busyUntil, m.cached = make([]time.Duration, len(m.zones)), make([]bool, len(m.zones))
	for i := range s.gateways {
		m.gateways = append(m.gateways, &modelGateway{zone: i % len(s.servers), planned: -time.Hour, report: -1})
	}
	return m
}

func zoneName(zone int) string { return string(rune('a' + zone)) }

func (m *model) lost(zone int, at time.Duration) bool {
	return m.lostAt > 0 && at >= m.lostAt && zone == len(m.servers)-1
}

// run plays the model and returns the share of the requests served on time and the bytes between
// zones per second, both without the first five seconds.
func (m *model) run() (onTime, bytesPerSecond float64) {
	const sigma, end = 0.9, 25 * time.Second
	// Requests are drawn at twice the capacity's rate, and each zone takes its part of them.
	perSecond := 2 * float64(len(m.zones)) * modelRate * 1000 / meanTokens
	for at := time.Duration(0); at < end; at += time.Duration(m.random.ExpFloat64() / perSecond * float64(time.Second)) {
		for time.Duration(len(m.reports))*reportInterval <= at {
			m.makeReport(time.Duration(len(m.reports)) * reportInterval)
		}
		draw, size := 2*m.random.Float64(), m.random.NormFloat64()
		for zone := range m.servers {
			if draw -= m.demand(zone, at); draw < 0 {
				tokens := int(meanTokens * math.Exp(sigma*size-sigma*sigma/2))
				m.arrive(at, zone, max(tokens, 50), at >= warmUp)
				break
			}
		}
	}
	return float64(m.onTime) / float64(m.arrived), m.crossedBytes / (end - warmUp).Seconds()
}

func (m *model) makeReport(at time.Duration) {
	r := report{demands: make([]float64, len(m.servers))}
	for i, zone := range m.zones {
		s := policy.Server{Name: string(rune('A' + i)), Zone: zoneName(zone), Draining: m.lost(zone, at)}
		if m.way == onePool {
			s.Zone = zoneName(0)
		}
		if wait := m.busyUntil[i] - at; wait > 0 {
			s.Pending[3].Tokens = int(wait.Seconds() * 1000 * modelRate)
		}
		r.servers = append(r.servers, s)
	}
	for zone := range m.offered {
		r.demands[zone] = m.offered[zone] / 0.5
		m.offered[zone] *= math.Exp(-reportInterval.Seconds() / 0.5)
	}
	m.reports = append(m.reports, r)
}

// view returns what a gateway knows of the servers.
func (m *model) view(g *modelGateway) report {
	last := len(m.reports) - 1
	older := m.reports[max(last-int(m.otherZonesAge/reportInterval), 0)]
	known := report{servers: append([]policy.Server(nil), m.reports[last].servers...), demands: append([]float64(nil), m.reports[last].demands...)}
	for i, zone := range m.zones {
		if zone != g.zone && m.way != onePool {
			known.servers[i] = older.servers[i]
			known.demands[zone] = older.demands[zone]
		}
	}
	if g.report != last {
		g.report, g.sent = last, map[int]int{}
	}
	for i, tokens := range g.sent {
		known.servers[i].Pending[3].Tokens += tokens
	}
	return known
}

func (m *model) arrive(at time.Duration, zone, tokens int, measured bool) {
	now := modelStart.Add(at)
	origin := zone
	if m.lost(zone, at) {
		origin = m.random.IntN(len(m.servers) - 1)
	}
	perZone := m.scenario.gateways / len(m.servers)
	g := m.gateways[origin+len(m.servers)*m.random.IntN(perZone)]
	known := m.view(g)
	job := policy.Job{Zone: zoneName(g.zone), Urgency: 3, Target: modelTarget, Tokens: tokens, MeanTokens: meanTokens, ReportAge: reportInterval / 2}
	if m.way == onePool {
		job.Zone = zoneName(0)
	}
	if zone == 0 && m.random.Float64() < m.hotShare {
		job.Tokens += prefixTokens
		job.MeanTokens += prefixTokens
		job.SharedSegments = []policy.PrefixSegment{{ID: 99, End: prefixTokens}}
	}
	m.offered[origin] += float64(tokens)
	total := 0.0
	for _, demand := range known.demands {
		total += demand
	}
	job.UnreportedTokens = total * job.ReportAge.Seconds() * float64(len(m.gateways)-1) / float64(len(m.gateways))
	if m.way == byPlan {
		m.draw(g, at, &known, &job)
	}
	choice := m.chooser.Choose(now, job, known.servers, &m.rate)
	if measured {
		m.arrived++
	}
	if !choice.Found || !choice.InTime {
		return
	}
	m.serve(at, g, choice, &job, tokens, measured)
}

// draw has the gateway plan and draws the request's zone.
func (m *model) draw(g *modelGateway, at time.Duration, known *report, job *policy.Job) {
	link := func(string, string) zonerouting.Link {
		return zonerouting.Link{RoundTrip: roundTrip, Usable: true, RequestBytes: meanTokens * bytesPerToken}
	}
	if at-g.planned >= planInterval {
		zones := make([]zonerouting.Zone, len(m.servers))
		for zone := range zones {
			zones[zone] = zonerouting.Zone{Name: zoneName(zone), Demand: known.demands[zone], RequestTime: requestTime, KnownAt: modelStart.Add(at)}
			if zone != g.zone {
				zones[zone].KnownAt = modelStart.Add(at - m.otherZonesAge)
			}
			for i := range m.zones {
				if m.zones[i] == zone && !known.servers[i].Draining {
					zones[zone].Capacity += modelRate * 1000
					zones[zone].Waiting += float64(known.servers[i].Pending[3].Tokens)
				}
			}
		}
		g.shares, g.planned = g.planner.Plan(modelStart.Add(at), zones, link, m.price), at
		m.countOpposed(g, at)
	}
	job.PlannedZone = zonerouting.Draw(m.draws.Float64(), job.Zone, zonerouting.Destinations(job.Zone, g.shares))
	job.CrossingCost = m.price.CrossingCost(link("", ""))
}

// countOpposed counts in opposed whether a new plan sends to a zone of which a gateway sends back.
func (m *model) countOpposed(g *modelGateway, at time.Duration) {
	for _, other := range m.gateways {
		if at < warmUp {
			return
		}
		there, back := [2]string{zoneName(g.zone), zoneName(other.zone)}, [2]string{zoneName(other.zone), zoneName(g.zone)}
		if g.shares[there].Fraction > 0 && other.shares[back].Fraction > 0 && at-other.planned < planInterval {
			m.opposed++
			return
		}
	}
}

func (m *model) serve(at time.Duration, g *modelGateway, choice policy.Choice, job *policy.Job, ownTokens int, measured bool) {
	server, work := choice.Index, ownTokens
	if len(job.SharedSegments) > 0 {
		if !m.cached[server] {
			work, m.cached[server] = work+prefixTokens, true
		}
		m.index.RecordSent(modelStart.Add(at), policy.KeyOf(string(rune('A'+server))), job.SharedSegments)
	}
	g.sent[server] += work
	latency := 20 * time.Millisecond
	if m.zones[server] != g.zone && m.way != onePool {
		latency += roundTrip
		if measured {
			m.crossedBytes += float64(job.Tokens) * bytesPerToken
		}
	}
	m.busyUntil[server] = max(m.busyUntil[server], at) + time.Duration(float64(work)/modelRate*float64(time.Millisecond))
	latency += m.busyUntil[server] - at
	m.rate.Observe(modelStart.Add(at), choice.TokensAhead, latency)
	if measured && latency <= modelTarget && !m.lost(m.zones[server], m.busyUntil[server]) {
		m.onTime++
	}
}
