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
// seconds without a first token, and retry once after a rejection.
type directPlay struct {
	random  *rand.Rand
	now     time.Duration
	events  simEvents
	engines []*directEngine
	// requests are those that are measured.
	requests []*directRequest
	senders  []*directGateway
	admit    bool
	onTime   map[string]int
	arrived  map[string]int
	readMore int
	// measureFrom is when measuring begins; before it the engines' caches fill.
	countFrom time.Duration
	// estimateUnseen makes gateways allow for the requests that others have sent since
	// their last update. started counts requests that got a first token, late or not,
	// and longestQueue is the longest queue of an engine without a free slot.
	expectUnseen bool
	// prefillDelaysDecode makes streams pause while a prompt is prefilled.
	readingDelays bool
	begun         map[string]int
	longest       int
	// shareFirstTokens makes gateways learn from each other's first tokens.
	sharedFirsts bool
	// chunkTokens is the chunk size of chunked prefill; 0 for whole prompts.
	chunk int
	// pauseTargets are the longest allowed pauses of streams, by class; latePauses counts
	// the streams that had longer ones.
	pauseTargets map[string]time.Duration
	latePauses   map[string]int
}

const (
	directRate        = 60.0 // tokens per millisecond
	simCacheSegments  = 20   // shared prefixes that an engine caches
	broadcastInterval = 100 * time.Millisecond
	callerTimeout     = 2 * time.Second
	fetchSpeed        = 10 // times as fast as prefill
)

type directGateway struct {
	chooser *Chooser
	rate    PrefillRate
	// own has this gateway's requests at each engine, and others those of the other
	// gateways as of their last update.
	own, others []Server
	// shortageCount counts this gateway's shortage, and otherShortage is that of the
	// other gateways as of their last update.
	shortageCount ShortageCount
	otherShortage Shortage
	yielding      Yielding
	sends         SendRate
	index         *PrefixIndex
	pauses        Pauses
	sizes         ClassSizes
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
	begun           bool
	gateway         int
	engine          int
	holdTime        time.Duration
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
const playSeed = 3

func newDirectPlay(engines, gateways int, admit bool) *directPlay {
	return newSeededPlay(playSeed, engines, gateways, admit)
}

func newSeededPlay(seed uint64, engines, gateways int, admit bool) *directPlay {
	p := &directPlay{random: rand.New(rand.NewPCG(seed, 4)), admit: admit, onTime: map[string]int{}, arrived: map[string]int{}, begun: map[string]int{}, latePauses: map[string]int{}}
	for range engines {
		p.engines = append(p.engines, &directEngine{simulation: p})
	}
	for range gateways {
		index := NewPrefixIndex()
		s := &directGateway{chooser: NewChooser(p.random, NewEjector(), index), index: index}
		for i := range engines {
			server := Server{Name: fmt.Sprintf("engine-%d", i), Zone: "z", Slots: 48}
			s.own, s.others = append(s.own, server), append(s.others, server)
		}
		p.senders = append(p.senders, s)
	}
	return p
}

func (p *directPlay) after(d time.Duration, do func()) {
	heap.Push(&p.events, simEvent{p.now + d, do})
}

// broadcast sends each gateway's state to the others, periodically.
func (p *directPlay) broadcast() {
	for i := range p.engines {
		var sum Server
		for _, s := range p.senders {
			sum.add(&s.own[i], 1)
		}
		for _, s := range p.senders {
			others := sum
			others.add(&s.own[i], -1)
			s.others[i].Running, s.others[i].Pending = others.Running, others.Pending
		}
	}
	var shortage Shortage
	for _, s := range p.senders {
		own := s.shortageCount.Counts(p.time())
		shortage.Add(&own, 1)
	}
	for _, s := range p.senders {
		for _, other := range p.senders {
			if other != s {
				s.index.Merge(p.time(), other.index.News(p.time()))
			}
		}
		own := s.shortageCount.Counts(p.time())
		s.otherShortage = shortage
		s.otherShortage.Add(&own, -1)
	}
	p.after(broadcastInterval, p.broadcast)
}

func (p *directPlay) time() time.Time { return testStart.Add(p.now) }

// shortage returns the shortage of all gateways as known to this one.
func (s *directGateway) shortage(now time.Time) *Shortage {
	all := s.shortageCount.Counts(now)
	all.Add(&s.otherShortage, 1)
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
func (p *directPlay) stream(class string, perSecond float64, from, to time.Duration, newJob func() Job, holdTime time.Duration) {
	for at := from; at < to; at += time.Duration(p.random.ExpFloat64() / perSecond * float64(time.Second)) {
		r := &directRequest{class: class, job: newJob(), arrivedAt: at, holdTime: holdTime}
		heap.Push(&p.events, simEvent{at, func() {
			if r.arrivedAt >= p.countFrom {
				p.arrived[class]++
				p.requests = append(p.requests, r)
			}
			p.offer(r)
		}})
	}
}

func (p *directPlay) offer(r *directRequest) {
	r.gateway = p.random.IntN(len(p.senders))
	s := p.senders[r.gateway]
	servers := make([]Server, len(p.engines))
	for i := range servers {
		servers[i] = s.others[i]
		servers[i].add(&s.own[i], 1)
	}
	r.job.Headroom = s.yielding.Share(p.time(), s.shortage(p.time()), SlotsInUse(servers), r.job.Urgency)
	if p.expectUnseen {
		others := float64(len(p.senders) - 1)
		requests, tokens := s.sends.Within(p.time(), broadcastInterval, r.job.Urgency)
		r.job.Unseen, r.job.UnseenTokens, r.job.NewsAge = others*requests, others*tokens/2, broadcastInterval/2
	}
	for i := range servers {
		servers[i].LatePause = s.pauses.Worse(p.time(), KeyOf(servers[i].Name), r.job.Urgency, p.pauseTargets[r.class])
	}
	r.job.MeanTokens = s.sizes.Mean(r.class, r.job.Tokens)
	s.sizes.Observe(r.class, r.job.Tokens)
	choice := s.chooser.Choose(p.time(), r.job, servers, &s.rate)
	s.shortageCount.Offered(p.time(), r.job.Urgency, choice.OnlySlots)
	if p.admit && !choice.InTime {
		if !r.retried {
			r.retried = true
			p.after(ComeBack(r.job.Target), func() { p.offer(r) })
		}
		return
	}
	r.engine, r.sentAt, r.tokensAhead, r.prefillTokens = choice.At, p.now, choice.Ahead, choice.Prefill
	s.sends.Sent(p.time(), r.job.Urgency, r.prefillTokens)
	s.index.Sent(p.time(), KeyOf(servers[choice.At].Name), r.job.Shared)
	if choice.Fetches {
		r.fetchFrom = p.engines[choice.From]
	}
	level := &s.own[r.engine].Pending[r.job.Urgency]
	level.Requests++
	level.Tokens += r.prefillTokens
	p.engines[r.engine].enqueue(r)
	p.after(callerTimeout, func() { p.abandon(r) })
}

// abandon ends a request whose caller has given up waiting.
func (p *directPlay) abandon(r *directRequest) {
	if !r.begun {
		r.abandoned = true
		p.removePending(r)
	}
}

func (p *directPlay) removePending(r *directRequest) {
	level := &p.senders[r.gateway].own[r.engine].Pending[r.job.Urgency]
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
	r.begun = true
	p.removePending(r)
	s := p.senders[r.gateway]
	s.rate.Observe(p.time(), r.tokensAhead, p.now-r.sentAt)
	for _, other := range p.senders {
		if p.sharedFirsts && other != s {
			other.rate.Observe(p.time(), r.tokensAhead, p.now-r.sentAt)
		}
	}
	s.index.Read(p.time(), KeyOf(s.own[r.engine].Name), r.job.Shared)
	s.own[r.engine].Running++
	e.running++
	if r.arrivedAt >= p.countFrom {
		p.begun[r.class]++
	}
	if p.now-r.arrivedAt <= r.job.Target && r.arrivedAt >= p.countFrom {
		p.onTime[r.class]++
	}
	before := e.prefillTime
	e.holdSlot(r.holdTime, func() {
		p.recordPause(r, e.drawPause(e.prefillTime > before))
		e.running--
		s.own[r.engine].Running--
		e.next()
	})
}

// recordPause reports the longest pause of a completed stream to all gateways.
func (p *directPlay) recordPause(r *directRequest, longest time.Duration) {
	target := p.pauseTargets[r.class]
	if target == 0 {
		return
	}
	if longest > target && r.arrivedAt >= p.countFrom {
		p.latePauses[r.class]++
	}
	server := KeyOf(p.senders[r.gateway].own[r.engine].Name)
	for _, s := range p.senders {
		s.pauses.Observe(p.time(), Pause{Server: server, Urgency: r.job.Urgency, Longest: longest})
	}
}

func (p *directPlay) run(until time.Duration) {
	p.after(0, p.broadcast)
	for len(p.events) > 0 && p.events[0].at <= until {
		next := heap.Pop(&p.events).(simEvent)
		p.now = next.at
		next.do()
	}
}

// simulateOverload runs ten seconds of summaries at a multiple of the engines' capacity
// with all prefixes cached, and a constant load of urgent questions.
func simulateOverload(multiple float64, admit bool) *directPlay {
	p := newDirectPlay(12, 6, admit)
	capacity := 12 * directRate * 1000 / 3000.0 // summaries a second
	segment := func() uint64 { return uint64(p.random.IntN(120)+1) * 0x9e3779b97f4a7c15 }
	p.stream("summary", multiple*capacity, 0, 10*time.Second, func() Job {
		return Job{Zone: "z", Urgency: 4, Target: 500 * time.Millisecond, Tokens: 9000, Shared: []Part{{ID: segment(), Upto: 6000}}}
	}, 300*time.Millisecond)
	p.stream("question", 60, 0, 10*time.Second, func() Job {
		return Job{Zone: "z", Urgency: 3, Target: 250 * time.Millisecond, Tokens: 800}
	}, 1500*time.Millisecond)
	p.run(15 * time.Second)
	return p
}

// Without admission control a long burst makes all requests late: each one waits behind
// requests that their callers have abandoned. With it the engines serve as many in time as
// they can prefill, and the urgent class isn't affected.
func TestBurstOfSummariesIsServedInTime(t *testing.T) {
	for _, multiple := range []float64{1, 2, 4} {
		open, admitted := simulateOverload(multiple, false), simulateOverload(multiple, true)
		t.Logf("%vx: summaries in time %d of %d, without admission %d; prefixes prefilled: %d and %d thousand tokens",
			multiple, admitted.onTime["summary"], admitted.arrived["summary"], open.onTime["summary"], admitted.readMore/1000, open.readMore/1000)
		if got, asked := admitted.onTime["question"], admitted.arrived["question"]; float64(got) < 0.95*float64(asked) {
			t.Errorf("%vx: %d of %d urgent questions in time", multiple, got, asked)
		}
		if multiple >= 2 && float64(admitted.onTime["summary"]) < 1.5*float64(open.onTime["summary"]) {
			t.Errorf("%vx: %d summaries in time with admission, %d without", multiple, admitted.onTime["summary"], open.onTime["summary"])
		}
		if bound := 12 * directRate * 1000 / 3000 * 10; multiple >= 2 && float64(admitted.onTime["summary"]) < 0.5*bound {
			t.Errorf("%vx: %d summaries in time, the engines could prefill %.0f", multiple, admitted.onTime["summary"], bound)
		}
	}
}

// A prefix that most requests share needs several engines. While engines have capacity,
// none of these requests may be rejected.
func TestHotPrefixIsServedInTime(t *testing.T) {
	p := newDirectPlay(12, 6, true)
	p.countFrom = 3 * time.Second
	p.stream("summary", 80, 0, 10*time.Second, func() Job {
		prefix := uint64(p.random.IntN(120)+1) * 0x9e3779b97f4a7c15
		if p.random.IntN(10) < 6 {
			prefix = 42
		}
		return Job{Zone: "z", Urgency: 4, Target: 500 * time.Millisecond, Tokens: 9000, Shared: []Part{{ID: prefix, Upto: 6000}}}
	}, 300*time.Millisecond)
	p.run(15 * time.Second)
	if got, asked := p.onTime["summary"], p.arrived["summary"]; float64(got) < 0.9*float64(asked) {
		t.Errorf("%d of %d in time", got, asked)
	}
}
