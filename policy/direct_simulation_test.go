package policy

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// directSimulation simulates gateways that send directly to engines, in virtual time. An
// engine prefills one prompt at a time, more urgent ones first, at a fixed rate, and caches
// the shared prefixes that it used last. A stream then holds a slot for a while. Gateways
// learn of each other's requests a tenth of a second later. Callers give up after two
// seconds without a first token, and retry once after a refusal.
type directSimulation struct {
	random  *rand.Rand
	now     time.Duration
	events  simEvents
	engines []*directEngine
	// requests are those that are measured.
	requests []*directRequest
	gateways []*directGateway
	// admit makes gateways refuse requests that no server can answer in time.
	admit bool
	// arrived and inTime count, by class, the measured requests and those of them whose
	// first token was in time.
	inTime  map[string]int
	arrived map[string]int
	// recomputedTokens counts the tokens of shared prefixes that engines prefilled.
	recomputedTokens int
	// measureFrom is when measuring begins; before it the engines' caches fill.
	measureFrom time.Duration
	// estimateUnreported makes gateways allow for the requests that others have sent since
	// their last update.
	estimateUnreported bool
	// prefillDelaysDecode makes streams pause while a prompt is prefilled.
	prefillDelaysDecode bool
	// started counts, by class, the measured requests that got a first token, late or not.
	started map[string]int
	// longestQueue is the length of the longest queue at an engine without a free slot.
	longestQueue int
	// shareFirstTokens makes gateways learn from each other's first tokens.
	shareFirstTokens bool
	// chunkTokens is the chunk size of chunked prefill; 0 for complete prompts.
	chunkTokens int
	// pauseTargets are the longest allowed pauses of streams, by class; latePauses counts
	// the streams that had longer ones.
	pauseTargets map[string]time.Duration
	latePauses   map[string]int
	// prefillRate is the engines' prefill rate in tokens per millisecond; 0 means simPrefillRate.
	prefillRate float64
	// reservations, if not nil, simulates single events and reserved servers.
	reservations *simReservations
}

const (
	simPrefillRate    = 60.0 // tokens per millisecond
	simCacheSegments  = 20   // shared prefixes that an engine caches
	broadcastInterval = 100 * time.Millisecond
	callerTimeout     = 2 * time.Second
	simFetchSpeedup   = 10 // times as fast as prefill
)

type directGateway struct {
	chooser *Chooser
	rate    PrefillRate
	// own has this gateway's requests at each engine, and others those of the other
	// gateways as of their last update.
	own, others []Server
	// offerCounter counts this gateway's offers, and otherOffers holds those of the
	// other gateways as of their last update.
	offerCounter OfferCounter
	otherOffers  OfferCounts
	headroom     AdaptiveHeadroom
	sends        SendRate
	index        *PrefixIndex
	pauses       PauseEstimator
	sizes        ClassSizes
}

type directRequest struct {
	class         string
	job           Job
	arrivedAt     time.Duration
	sentAt        time.Duration
	retried       bool
	tokensAhead   float64
	prefillTokens int
	// remainingTokens is the number of tokens that the engine still has to prefill.
	remainingTokens int
	fetchFrom       *directEngine
	abandoned       bool
	started         bool
	gateway         int
	engine          int
	holdTime        time.Duration
	// reserved is whether the server was reserved when the request was sent.
	reserved bool
}

type simEvent struct {
	at time.Duration
	do func()
}

type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simSeed is the seed of simulations that run with a single seed.
const simSeed = 3

func newDirectSimulation(engines, gateways int, admit bool) *directSimulation {
	return newSeededSimulation(simSeed, engines, gateways, admit)
}

func newSeededSimulation(seed uint64, engines, gateways int, admit bool) *directSimulation {
	p := &directSimulation{random: rand.New(rand.NewPCG(seed, 4)), admit: admit, inTime: map[string]int{}, arrived: map[string]int{}, started: map[string]int{}, latePauses: map[string]int{}}
	for range engines {
		p.engines = append(p.engines, &directEngine{simulation: p})
	}
	for range gateways {
		index := NewPrefixIndex()
		g := &directGateway{chooser: NewChooser(p.random, NewEjector(), index), index: index}
		for i := range engines {
			server := Server{Name: fmt.Sprintf("engine-%d", i), Zone: "z", Slots: 48}
			g.own, g.others = append(g.own, server), append(g.others, server)
		}
		p.gateways = append(p.gateways, g)
	}
	return p
}

func (p *directSimulation) after(d time.Duration, do func()) {
	heap.Push(&p.events, simEvent{p.now + d, do})
}

// broadcast sends each gateway's state to the others, periodically.
func (p *directSimulation) broadcast() {
	for i := range p.engines {
		var sum Server
		for _, g := range p.gateways {
			sum.add(&g.own[i], 1)
		}
		for _, g := range p.gateways {
			others := sum
			others.add(&g.own[i], -1)
			g.others[i].Running, g.others[i].Pending = others.Running, others.Pending
		}
	}
	var offers OfferCounts
	for _, g := range p.gateways {
		own := g.offerCounter.Counts(p.time())
		offers.Add(&own, 1)
	}
	for _, g := range p.gateways {
		for _, other := range p.gateways {
			if other != g {
				g.index.Merge(p.time(), other.index.Updates(p.time()))
			}
		}
		own := g.offerCounter.Counts(p.time())
		g.otherOffers = offers
		g.otherOffers.Add(&own, -1)
	}
	p.after(broadcastInterval, p.broadcast)
}

func (p *directSimulation) time() time.Time { return testStart.Add(p.now) }

// offers returns the offer counts of all gateways as known to this one.
func (g *directGateway) offers(now time.Time) *OfferCounts {
	all := g.offerCounter.Counts(now)
	all.Add(&g.otherOffers, 1)
	return &all
}

func (s *Server) add(o *Server, sign int) {
	s.Running += sign * o.Running
	for l := range s.Pending {
		s.Pending[l].Requests += sign * o.Pending[l].Requests
		s.Pending[l].Tokens += sign * o.Pending[l].Tokens
	}
}

// addArrivals schedules requests of a class as a Poisson process between two times.
func (p *directSimulation) addArrivals(class string, perSecond float64, from, to time.Duration, newJob func() Job, holdTime time.Duration) {
	for at := from; at < to; at += time.Duration(p.random.ExpFloat64() / perSecond * float64(time.Second)) {
		r := &directRequest{class: class, job: newJob(), arrivedAt: at, holdTime: holdTime}
		heap.Push(&p.events, simEvent{at, func() {
			if r.arrivedAt >= p.measureFrom {
				p.arrived[class]++
				p.requests = append(p.requests, r)
			}
			p.offer(r)
		}})
	}
}

func (p *directSimulation) offer(r *directRequest) {
	r.gateway = p.random.IntN(len(p.gateways))
	g := p.gateways[r.gateway]
	servers := make([]Server, len(p.engines))
	for i := range servers {
		servers[i] = g.others[i]
		servers[i].add(&g.own[i], 1)
	}
	r.job.Headroom = g.headroom.Share(p.time(), g.offers(p.time()), SlotUtilization(servers), r.job.Urgency)
	if p.estimateUnreported {
		ownOffers := g.offerCounter.Counts(p.time())
		requests, tokens := g.sends.ExpectedElsewhere(p.time(), broadcastInterval, r.job.Urgency, &ownOffers, &g.otherOffers)
		r.job.UnreportedRequests, r.job.UnreportedTokens, r.job.ReportAge = requests, tokens/2, broadcastInterval/2
	}
	for i := range servers {
		servers[i].PauseRisk = g.pauses.ExcessRisk(p.time(), KeyOf(servers[i].Name), r.job.Urgency, p.pauseTargets[r.class])
	}
	if p.reservations != nil {
		p.reservations.apply(p, r, servers)
	}
	r.job.MeanTokens = g.sizes.Mean(r.class, r.job.Tokens)
	g.sizes.Observe(r.class, r.job.Tokens)
	choice := g.chooser.Choose(p.time(), r.job, servers, &g.rate)
	g.offerCounter.Observe(p.time(), r.job.Urgency, choice.SlotLimited)
	if p.admit && !choice.InTime {
		if !r.retried {
			r.retried = true
			p.after(RetryDelay(r.job.Target), func() { p.offer(r) })
		}
		return
	}
	r.reserved = servers[choice.Index].Reserved
	r.engine, r.sentAt, r.tokensAhead, r.prefillTokens = choice.Index, p.now, choice.TokensAhead, choice.PrefillTokens
	g.sends.CountSent(p.time(), r.job.Urgency, r.prefillTokens)
	g.index.RecordSent(p.time(), KeyOf(servers[choice.Index].Name), r.job.SharedSegments)
	if choice.Fetches {
		r.fetchFrom = p.engines[choice.FetchFrom]
	}
	level := &g.own[r.engine].Pending[r.job.Urgency]
	level.Requests++
	level.Tokens += r.prefillTokens
	p.engines[r.engine].enqueue(r)
	p.after(callerTimeout, func() { p.abandon(r) })
}

// abandon ends a request whose caller has given up waiting.
func (p *directSimulation) abandon(r *directRequest) {
	if !r.started {
		r.abandoned = true
		p.removePending(r)
	}
}

func (p *directSimulation) removePending(r *directRequest) {
	level := &p.gateways[r.gateway].own[r.engine].Pending[r.job.Urgency]
	level.Requests--
	level.Tokens -= r.prefillTokens
}

// firstToken processes a request's first token.
func (e *directEngine) firstToken(r *directRequest) {
	e.prefilling = nil
	defer e.next()
	if r.abandoned {
		return
	}
	p := e.simulation
	r.started = true
	p.removePending(r)
	g := p.gateways[r.gateway]
	g.rate.Observe(p.time(), r.tokensAhead, p.now-r.sentAt)
	for _, other := range p.gateways {
		if p.shareFirstTokens && other != g {
			other.rate.Observe(p.time(), r.tokensAhead, p.now-r.sentAt)
		}
	}
	g.index.RecordPrefilled(p.time(), KeyOf(g.own[r.engine].Name), r.job.SharedSegments)
	g.own[r.engine].Running++
	e.running++
	if r.arrivedAt >= p.measureFrom {
		p.started[r.class]++
	}
	if p.now-r.arrivedAt <= r.job.Target && r.arrivedAt >= p.measureFrom {
		p.inTime[r.class]++
	}
	if p.reservations != nil {
		e.stream(r, &simStream{startedAt: p.now, lastEvent: p.now})
		return
	}
	before := e.prefillTime
	e.holdSlot(r.holdTime, func() {
		p.recordPause(r, e.drawPause(e.prefillTime > before))
		e.running--
		g.own[r.engine].Running--
		e.next()
	})
}

// recordPause reports the longest pause of a completed stream to all gateways.
func (p *directSimulation) recordPause(r *directRequest, longest time.Duration) {
	target := p.pauseTargets[r.class]
	if target == 0 {
		return
	}
	if longest > target && r.arrivedAt >= p.measureFrom {
		p.latePauses[r.class]++
	}
	server := KeyOf(p.gateways[r.gateway].own[r.engine].Name)
	for _, g := range p.gateways {
		g.pauses.Observe(p.time(), Pause{Server: server, Urgency: r.job.Urgency, Longest: longest})
	}
}

func (p *directSimulation) run(until time.Duration) {
	p.after(0, p.broadcast)
	for len(p.events) > 0 && p.events[0].at <= until {
		next := heap.Pop(&p.events).(simEvent)
		p.now = next.at
		next.do()
	}
}

// simulateOverload runs ten seconds of summaries at a multiple of the engines' capacity
// with all prefixes cached, and a constant load of urgent questions.
func simulateOverload(multiple float64, admit bool) *directSimulation {
	p := newDirectSimulation(12, 6, admit)
	capacity := 12 * simPrefillRate * 1000 / 3000.0 // summaries a second
	segment := func() uint64 { return uint64(p.random.IntN(120)+1) * 0x9e3779b97f4a7c15 }
	p.addArrivals("summary", multiple*capacity, 0, 10*time.Second, func() Job {
		return Job{Zone: "z", Urgency: 4, Target: 500 * time.Millisecond, Tokens: 9000, SharedSegments: []PrefixSegment{{ID: segment(), End: 6000}}}
	}, 300*time.Millisecond)
	p.addArrivals("question", 60, 0, 10*time.Second, func() Job {
		return Job{Zone: "z", Urgency: 3, Target: 250 * time.Millisecond, Tokens: 800}
	}, 1500*time.Millisecond)
	p.run(15 * time.Second)
	return p
}

// Guards against a long burst that makes all requests late: without admission control each
// request waits behind others whose callers have given up. With it the engines serve about as
// many in time as they can prefill, and the urgent class isn't affected.
func TestBurstOfSummariesIsServedInTime(t *testing.T) {
	for _, multiple := range []float64{1, 2, 4} {
		open, admitted := simulateOverload(multiple, false), simulateOverload(multiple, true)
		t.Logf("%vx: summaries in time %d of %d, without admission %d; prefixes prefilled: %d and %d thousand tokens",
			multiple, admitted.inTime["summary"], admitted.arrived["summary"], open.inTime["summary"], admitted.recomputedTokens/1000, open.recomputedTokens/1000)
		if got, asked := admitted.inTime["question"], admitted.arrived["question"]; float64(got) < 0.95*float64(asked) {
			t.Errorf("%vx: %d of %d urgent questions in time", multiple, got, asked)
		}
		if multiple >= 2 && float64(admitted.inTime["summary"]) < 1.5*float64(open.inTime["summary"]) {
			t.Errorf("%vx: %d summaries in time with admission, %d without", multiple, admitted.inTime["summary"], open.inTime["summary"])
		}
		if bound := 12 * simPrefillRate * 1000 / 3000 * 10; multiple >= 2 && float64(admitted.inTime["summary"]) < 0.5*bound {
			t.Errorf("%vx: %d summaries in time, the engines could prefill %.0f", multiple, admitted.inTime["summary"], bound)
		}
	}
}

// A prefix that most requests share needs several engines. While engines have capacity,
// none of these requests may be refused.
func TestHotPrefixIsServedInTime(t *testing.T) {
	p := newDirectSimulation(12, 6, true)
	p.measureFrom = 3 * time.Second
	p.addArrivals("summary", 80, 0, 10*time.Second, func() Job {
		prefix := uint64(p.random.IntN(120)+1) * 0x9e3779b97f4a7c15
		if p.random.IntN(10) < 6 {
			prefix = 42
		}
		return Job{Zone: "z", Urgency: 4, Target: 500 * time.Millisecond, Tokens: 9000, SharedSegments: []PrefixSegment{{ID: prefix, End: 6000}}}
	}, 300*time.Millisecond)
	p.run(15 * time.Second)
	if got, asked := p.inTime["summary"], p.arrived["summary"]; float64(got) < 0.9*float64(asked) {
		t.Errorf("%d of %d summaries with a hot prefix in time", got, asked)
	}
}
