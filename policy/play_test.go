package policy

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// play runs workloads against engines in virtual time.
type play struct {
	clock   *virtualClock
	random  *rand.Rand
	placer  *Placer
	engines []*playEngine
	tallies map[string]*tally
	// customers tallies by class and customer.
	customers map[string]*tally
	comeback  bool
	// preemption says whether Preempt is obeyed.
	preemption bool
	copies     func(Tier) int
	serial     int
	start      time.Time
}

// playEngine is an engine with its agent's scheduler.
type playEngine struct {
	name      string
	engine    *fakeEngine
	scheduler *Scheduler
	requests  map[string]*request
	running   map[string]*request
	wake      time.Time
	lastSeen  Candidate
}

// request is one caller's request.
type request struct {
	w        workload
	id       string
	customer string
	answer   int
	arrived  time.Time
	holders  map[*playEngine]bool
	refusals []Decision
	granted  bool
	again    bool
	first    time.Time
	lateInfo string
	began    time.Time
	given    int
	epoch    int
	inLine   bool
}

const debugFlags = false

func newPlay(seed uint64, engines ...*fakeEngine) *play {
	random := rand.New(rand.NewPCG(seed, 1))
	p := &play{
		clock:      newVirtualClock(),
		random:     random,
		placer:     NewPlacer(random, NewEjector()),
		tallies:    map[string]*tally{},
		customers:  map[string]*tally{},
		copies:     Copies,
		preemption: true,
	}
	p.start = p.clock.now
	for i, e := range engines {
		p.engines = append(p.engines, &playEngine{
			name:      fmt.Sprintf("engine-%d", i),
			engine:    e,
			scheduler: NewScheduler(),
			requests:  map[string]*request{},
			running:   map[string]*request{},
		})
	}
	return p
}

func (p *play) tally(class string) *tally {
	if p.tallies[class] == nil {
		p.tallies[class] = &tally{}
	}
	return p.tallies[class]
}

func (p *play) ofCustomer(r *request) *tally {
	key := r.w.class + "/" + r.customer
	if p.customers[key] == nil {
		p.customers[key] = &tally{}
	}
	return p.customers[key]
}

// run plays the workloads for a time and then lets the rest finish.
func (p *play) run(d time.Duration, workloads ...workload) {
	for _, w := range workloads {
		p.arrive(w, d)
	}
	p.clock.runUntil(p.start.Add(d + 20*time.Minute))
}

func (p *play) arrive(w workload, end time.Duration) {
	since := p.clock.now.Sub(p.start)
	if since >= end {
		return
	}
	rate := w.rate(since)
	if rate <= 0 {
		p.clock.after(100*time.Millisecond, func() { p.arrive(w, end) })
		return
	}
	gap := min(p.random.ExpFloat64()/rate, 0.5)
	p.clock.after(seconds(gap), func() {
		// The gap is cut at half a second to follow a change of rate.
		if gap < 0.5 {
			p.receive(p.newRequest(w))
		}
		p.arrive(w, end)
	})
}

func (p *play) newRequest(w workload) *request {
	p.serial++
	customer := 0
	if w.customers > 1 && p.random.Float64() >= w.hot {
		customer = 1 + p.random.IntN(w.customers-1)
	}
	return &request{
		w:        w,
		id:       fmt.Sprintf("r%d", p.serial),
		customer: fmt.Sprintf("c%d", customer),
		answer:   1 + int(float64(w.answer)*(0.25+1.5*p.random.Float64())),
		arrived:  p.clock.now,
	}
}

// receive places the request's tickets.
func (p *play) receive(r *request) {
	if !r.again {
		p.tally(r.w.class).offered++
		p.ofCustomer(r).offered++
	}
	r.holders = map[*playEngine]bool{}
	names := p.placer.Pick(p.clock.now, Placement{Tier: r.w.tier}, p.candidates(), p.copies(r.w.tier))
	for _, name := range names {
		for _, e := range p.engines {
			if e.name == name {
				r.holders[e] = true
			}
		}
	}
	for _, e := range p.engines {
		if r.holders[e] && !r.granted {
			p.offer(e, r, len(names))
		}
	}
}

// candidates are what was heard of the engines, half a second old at most.
func (p *play) candidates() []Candidate {
	list := make([]Candidate, 0, len(p.engines))
	for _, e := range p.engines {
		if p.clock.now.Sub(e.lastSeen.Seen) > 500*time.Millisecond {
			load := e.scheduler.Load()
			e.lastSeen = Candidate{
				Name: e.name, Waiting: load.Waiting, Running: load.Running,
				Limit: load.Limit, Seen: p.clock.now,
			}
		}
		list = append(list, e.lastSeen)
	}
	return list
}

func (p *play) offer(e *playEngine, r *request, copies int) {
	decision := e.scheduler.Offer(p.clock.now, p.ticket(r, copies))
	for _, id := range decision.Displaced {
		p.drop(e, id)
	}
	if !decision.Admitted {
		p.refused(e, r, decision)
		return
	}
	e.requests[r.id] = r
	p.serve(e)
}

func (p *play) ticket(r *request, copies int) Ticket {
	due, target := r.w.due()
	return Ticket{
		ID: r.id, Class: r.w.class, Customer: r.customer, Tier: r.w.tier,
		Deadline: r.arrived.Add(target), Due: due,
		Size: r.w.prompt + r.w.answer, Copies: copies, Preemptible: true,
		FirstToken: r.w.firstToken, BetweenTokens: r.w.betweenTokens,
	}
}

// drop ends a waiting ticket that the scheduler gave up on.
func (p *play) drop(e *playEngine, id string) {
	r := e.requests[id]
	delete(e.requests, id)
	hint := e.scheduler.RetryAfter(p.clock.now, r.w.tier)
	p.refused(e, r, Decision{RetryAfter: hint})
	if len(r.holders) == 0 && !r.granted {
		p.tally(r.w.class).expired++
	}
}

func (p *play) refused(e *playEngine, r *request, d Decision) {
	delete(r.holders, e)
	r.refusals = append(r.refusals, d)
	if r.granted || len(r.holders) > 0 {
		return
	}
	if r.again {
		return
	}
	p.tally(r.w.class).refused++
	p.ofCustomer(r).refused++
	if !p.comeback {
		return
	}
	p.tally(r.w.class).comeback++
	p.clock.after(Hint(r.refusals), func() {
		r.again = true
		r.arrived = p.clock.now
		r.refusals = nil
		r.id += "b"
		p.receive(r)
	})
}

// serve grants while there is room, and sets the next wake.
func (p *play) serve(e *playEngine) {
	now := p.clock.now
	for _, id := range e.scheduler.Expire(now) {
		p.drop(e, id)
	}
	for {
		if p.preemption {
			for {
				id, ok := e.scheduler.Preempt(now)
				if !ok {
					break
				}
				p.preempt(e, id)
			}
		}
		t, ok := e.scheduler.Next(now)
		if !ok {
			break
		}
		p.start1(e, e.requests[t.ID])
	}
	wake, ok := e.scheduler.NextWake(now)
	if ok && (e.wake.IsZero() || wake.Before(e.wake) || !e.wake.After(now)) {
		e.wake = wake
		p.clock.after(wake.Sub(now), func() {
			if e.wake.Equal(wake) {
				e.wake = time.Time{}
				p.serve(e)
			}
		})
	}
}

func (p *play) start1(e *playEngine, r *request) {
	if r == nil {
		panic("granted an unknown ticket")
	}
	if r.granted {
		panic("granted twice")
	}
	r.granted = true
	delete(e.requests, r.id)
	for other := range r.holders {
		if other != e {
			other.scheduler.Withdraw(r.id)
			delete(other.requests, r.id)
		}
	}
	wait := p.clock.now.Sub(r.arrived)
	p.tally(r.w.class).longestWait = max(p.tally(r.w.class).longestWait, wait)
	p.ofCustomer(r).longestWait = max(p.ofCustomer(r).longestWait, wait)
	e.scheduler.Started(p.clock.now, r.id)
	e.running[r.id] = r
	r.lateInfo = fmt.Sprint(e.name, " streams ", e.engine.streams, " line ", len(e.engine.line), " limit ", e.scheduler.limiter.limit, " ramping ", e.scheduler.limiter.ramping, " probing ", e.scheduler.limiter.probing, " lower ", e.scheduler.running.lower)
	r.epoch++
	epoch := r.epoch
	r.began = p.clock.now
	r.inLine = true
	e.engine.enter(r.w.tier, func() bool {
		if epoch != r.epoch {
			return false
		}
		r.inLine = false
		p.clock.after(e.engine.prefill(r.w.prompt), func() { p.token(e, r, epoch) })
		return true
	})
}

func (p *play) token(e *playEngine, r *request, epoch int) {
	if epoch != r.epoch {
		return
	}
	if r.given == 0 {
		r.first = p.clock.now
	}
	r.given++
	e.scheduler.Tokens(p.clock.now, r.id, 1)
	if r.given < r.answer {
		p.clock.after(e.engine.between(), func() { p.token(e, r, epoch) })
		p.serve(e)
		return
	}
	e.engine.leave()
	delete(e.running, r.id)
	e.scheduler.Finished(p.clock.now, r.id, OutcomeWhole)
	p.finished(r)
	p.serve(e)
}

// preempt cancels a run; its request waits again, to be resumed here.
func (p *play) preempt(e *playEngine, id string) {
	r := e.running[id]
	delete(e.running, id)
	p.tally(r.w.class).preempted++
	p.tally(r.w.class).wastedTime += e.engine.prefill(r.w.prompt)
	r.epoch++
	if !r.inLine {
		e.engine.leave()
	}
	e.scheduler.Finished(p.clock.now, id, OutcomeCancelled)
	r.granted = false
	r.id += "p"
	r.holders = map[*playEngine]bool{e: true}
	e.requests[r.id] = r
	ticket := p.ticket(r, 1)
	e.scheduler.Resume(p.clock.now, ticket)
}

func (p *play) finished(r *request) {
	w := r.w
	t := p.tally(w.class)
	t.ranTime += p.clock.now.Sub(r.began)
	late := w.firstToken > 0 && r.first.Sub(r.arrived) > w.firstToken
	late = late || w.completion > 0 && p.clock.now.Sub(r.arrived) > w.completion
	mean := p.clock.now.Sub(r.first) / time.Duration(max(r.answer-1, 1))
	late = late || w.betweenTokens > 0 && mean > w.betweenTokens
	if r.again {
		since := p.clock.now.Sub(p.start)
		if !late && since >= 35*time.Second && since < 90*time.Second {
			t.inBurst++
		}
		if !late {
			t.comebackIn++
		}
		return
	}
	t.whole++
	p.ofCustomer(r).whole++
	if late && w.tier == 0 && debugFlags {
		fmt.Println("late flag", r.arrived.Sub(p.start), r.first.Sub(r.arrived), r.lateInfo)
	}
	since := p.clock.now.Sub(p.start)
	if !late && since >= 35*time.Second && since < 90*time.Second {
		t.inBurst++
	}
	if !late {
		t.onTime++
		p.ofCustomer(r).onTime++
	}
}

func (p *play) report() string {
	text := ""
	for class, t := range p.tallies {
		text += fmt.Sprintf("%-12s offered %5d whole %5d on time %5d (%.3f of offered, %.3f of whole) refused %5d expired %4d came back %5d in %5d longest wait %v preempted %d burst goodput %.2f/s\n",
			class, t.offered, t.whole, t.onTime, t.attained(), t.kept(), t.refused, t.expired, t.comeback, t.comebackIn, t.longestWait.Round(time.Millisecond), t.preempted, float64(t.inBurst)/55)
	}
	for _, e := range p.engines {
		text += fmt.Sprintf("%s limit %d\n", e.name, e.scheduler.limiter.limit)
	}
	return text
}
