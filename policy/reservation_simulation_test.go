package policy

import (
	"math"
	"time"
)

// SimPlanner is what a simulation uses of an isolation.Planner. Package isolation imports this one,
// so only the tests of package policy_test can import both.
type SimPlanner interface {
	ObserveStreams(now time.Time, urgency, late, onTime int)
	Plan(now time.Time, load *SimLoad) SimPlan
}

// SimClass, SimLoad and SimPlan are the parts of the types of package isolation that are used.
type (
	SimClass struct {
		PauseTarget         time.Duration
		PrefillTokens, Rate float64
		StreamTime          time.Duration
	}
	SimLoad struct {
		Classes     [UrgencyLevels]SimClass
		Servers     []Server
		Slowdowns   []float64
		PrefillRate float64
	}
	SimPlan struct {
		Protected, Bound [UrgencyLevels]bool
		Reserved         []bool
		Budget           []float64
		MaxWaitingTokens [UrgencyLevels]float64
		Count            int
	}
)

// SimResult is the result of a simulation by class: the requests that arrived, those on time, and
// those that got a first token. Reserved is the mean number of reserved servers.
type SimResult struct {
	Arrived, OnTime, Started map[string]int
	Reserved                 float64
	// LongestStarted is the share of the longest tenth of the long prompts that got a first token.
	LongestStarted float64
}

// Share returns the share of a class's requests that were on time.
func (r *SimResult) Share(class string) float64 {
	return float64(r.OnTime[class]) / float64(r.Arrived[class])
}

const (
	simShortUrgency, simLongUrgency   = 3, 4
	simShortTokens, simLongMeanTokens = 700, 2890
	simShortEvents, simLongEvents     = 58, 10
	simShortTarget, simLongTarget     = 400 * time.Millisecond, 800 * time.Millisecond
	simShortPause, simLongPause       = 300 * time.Millisecond, 500 * time.Millisecond
	// simEventInterval is five steps of 5 ms.
	simEventInterval = 25 * time.Millisecond
)

// simReservations is the state of a simulation with reserved servers and single events.
type simReservations struct {
	// planners are those of the gateways; nil for none.
	planners []SimPlanner
	// slowdowns are the engines' slowdowns relative to their mean.
	slowdowns []float64
	// streamTimes has the mean duration of short streams, at reserved servers and at others.
	streamTimes map[bool]time.Duration
	onTime      map[string]int
	// plans and reserved count the plans and the reserved servers in them.
	plans, reserved int
}

// simStream is a running stream.
type simStream struct {
	startedAt, lastEvent time.Duration
	events               int
	late                 bool
}

// rate returns the prefill rate in tokens per millisecond.
func (p *directSimulation) rate() float64 {
	if p.prefillRate > 0 {
		return p.prefillRate
	}
	return simPrefillRate
}

// SimulateReservations simulates short and long prompts at servers of which one in four is twice as
// fast as the others. load is that of long prompts, as a share of the prefill capacity. newPlanner,
// if not nil, returns a gateway's planner.
func SimulateReservations(seed uint64, servers, gateways int, load float64, newPlanner func() SimPlanner) *SimResult {
	p := newSeededSimulation(seed, servers, gateways, true)
	p.estimateUnreported, p.shareFirstTokens, p.prefillDelaysDecode = true, true, true
	p.prefillRate, p.chunkTokens, p.measureFrom = 51, 4096, 3*time.Second
	p.reservations = &simReservations{streamTimes: map[bool]time.Duration{}, onTime: map[string]int{}}
	capacity, meanSlowdown := 0.0, 0.0
	for i, e := range p.engines {
		e.slowdown = 1
		if i%4 == 0 {
			e.slowdown = 0.5
		}
		capacity += 1000 * p.prefillRate / e.slowdown
		meanSlowdown += e.slowdown / float64(servers)
	}
	for _, e := range p.engines {
		p.reservations.slowdowns = append(p.reservations.slowdowns, e.slowdown/meanSlowdown)
	}
	if newPlanner != nil {
		for range gateways {
			p.reservations.planners = append(p.reservations.planners, newPlanner())
		}
	}
	const until = 20 * time.Second
	p.addArrivals("short", 2*float64(servers), 0, until, func() Job {
		return Job{Zone: "z", Urgency: simShortUrgency, Target: simShortTarget, Tokens: simShortTokens}
	}, 0)
	p.addArrivals("long", load*capacity/simLongMeanTokens, 0, until, func() Job {
		return Job{Zone: "z", Urgency: simLongUrgency, Target: simLongTarget, Tokens: logNormalLength(p.random, simLongMeanTokens, 1)}
	}, 0)
	p.run(until + 10*time.Second)
	var long []servedRequest
	for _, r := range p.requests {
		if r.class == "long" {
			long = append(long, servedRequest{r.job.Tokens, r.started})
		}
	}
	longest, _ := servedShareBySize(long)
	reserved := float64(p.reservations.reserved) / float64(max(p.reservations.plans, 1))
	return &SimResult{p.arrived, p.reservations.onTime, p.started, reserved, longest}
}

// apply marks the servers and the job by the plan of the request's gateway.
func (s *simReservations) apply(p *directSimulation, r *directRequest, servers []Server) {
	if s.planners == nil {
		return
	}
	g := p.gateways[r.gateway]
	load := SimLoad{Servers: servers, Slowdowns: s.slowdowns, PrefillRate: g.rate.rate()}
	offers := g.offers(p.time())
	classRate := func(urgency int) float64 { return offers[urgency].Offered / offerTimeConstant.Seconds() }
	load.Classes[simShortUrgency] = SimClass{simShortPause, g.sizes.Mean("short", simShortTokens), classRate(simShortUrgency), s.streamTime()}
	load.Classes[simLongUrgency] = SimClass{simLongPause, g.sizes.Mean("long", simLongMeanTokens), classRate(simLongUrgency), 0}
	plan := s.planners[r.gateway].Plan(p.time(), &load)
	r.job.UnreportedProtected = g.otherOffers[simShortUrgency].Offered * broadcastInterval.Seconds() / offerTimeConstant.Seconds()
	s.plans++
	s.reserved += plan.Count
	r.job.MaxWaitingTokens = plan.MaxWaitingTokens[r.job.Urgency]
	r.job.Protected, r.job.BoundByReservation = plan.Protected[r.job.Urgency], plan.Bound[r.job.Urgency]
	for i := range servers {
		servers[i].Reserved = plan.Reserved[i]
		if !math.IsInf(plan.Budget[i], 1) {
			servers[i].PrefillBudget = plan.Budget[i]
		}
	}
}

// streamTime returns the mean duration of short streams, of those on reserved servers if there were
// any.
func (s *simReservations) streamTime() time.Duration {
	if d := s.streamTimes[true]; d > 0 {
		return d
	}
	return s.streamTimes[false]
}

// stream waits for the next event of a stream, or ends it.
func (e *directEngine) stream(r *directRequest, stream *simStream) {
	p := e.simulation
	events, pauseTarget := simShortEvents, simShortPause
	if r.class == "long" {
		events, pauseTarget = simLongEvents, simLongPause
	}
	stream.events++
	if stream.events == events {
		e.endStream(r, stream)
		return
	}
	e.holdSlot(time.Duration(e.slowdown*float64(simEventInterval)), func() {
		if p.now-stream.lastEvent > pauseTarget && !stream.late {
			stream.late = true
			p.reservations.observe(p, r, true)
		}
		stream.lastEvent = p.now
		e.stream(r, stream)
	})
}

// endStream records a complete stream.
func (e *directEngine) endStream(r *directRequest, stream *simStream) {
	p, s := e.simulation, e.simulation.reservations
	if !stream.late {
		s.observe(p, r, false)
		if stream.startedAt-r.arrivedAt <= r.job.Target && r.arrivedAt >= p.measureFrom {
			s.onTime[r.class]++
		}
	}
	if r.class == "short" {
		mean, duration := s.streamTimes[r.reserved], p.now-stream.startedAt
		if mean == 0 {
			mean = duration
		}
		s.streamTimes[r.reserved] = mean + (duration-mean)/50
	}
	e.running--
	p.gateways[r.gateway].own[r.engine].Running--
	e.next()
}

// observe reports a stream to the planners of all gateways.
func (s *simReservations) observe(p *directSimulation, r *directRequest, late bool) {
	for _, planner := range s.planners {
		if late {
			planner.ObserveStreams(p.time(), r.job.Urgency, 1, 0)
		} else {
			planner.ObserveStreams(p.time(), r.job.Urgency, 0, 1)
		}
	}
}
