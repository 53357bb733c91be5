package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// play runs workloads against engines in virtual time.
type play struct {
	clock   *virtualClock
	start   time.Time
	random  *rand.Rand
	placer  *Placer
	engines []*playEngine
	tallies map[string]*tally
	serial  int
	// requests are all that were offered.
	requests []*request
	copies   func(Tier) int
	// burstEnd parts those that come back into the burst from the others.
	burstEnd time.Duration
}

// playRefusals is after how many refusals a request is refused, as at an entry.
const playRefusals = 4

func newPlay(seed uint64, engines ...*fakeEngine) *play {
	random := rand.New(rand.NewPCG(seed, 1))
	p := &play{
		clock:   newVirtualClock(),
		random:  random,
		placer:  NewPlacer(random, NewEjector()),
		tallies: map[string]*tally{},
		copies:  Copies,
	}
	p.start = p.clock.now
	for i, e := range engines {
		p.engines = append(p.engines, &playEngine{
			play: p, name: fmt.Sprintf("engine-%d", i), engine: e, scheduler: NewScheduler(),
			waiting: map[string]*request{}, running: map[string]*request{},
		})
	}
	return p
}

func fleet(n, batch int) []*fakeEngine {
	var engines []*fakeEngine
	for range n {
		engines = append(engines, newFakeEngine(batch))
	}
	return engines
}

// tally is that of a class, or of class/customer.
func (p *play) tally(key string) *tally {
	if p.tallies[key] == nil {
		p.tallies[key] = &tally{}
	}
	return p.tallies[key]
}

// of calls do with the tallies that a request counts for.
func (p *play) of(r *request, do func(*tally)) {
	do(p.tally(r.w.class))
	do(p.tally(r.w.class + "/" + r.customer))
}

// run plays the workloads for a time, and rest more with no arrivals.
func (p *play) run(d, rest time.Duration, workloads ...workload) {
	for _, w := range workloads {
		p.arrive(w, d)
	}
	p.clock.runUntil(p.start.Add(d + rest))
}

// watch calls look at every step until a time since the start.
func (p *play) watch(step, until time.Duration, look func(since time.Duration)) {
	p.clock.after(step, func() {
		since := p.clock.now.Sub(p.start)
		look(since)
		if since < until {
			p.watch(step, until, look)
		}
	})
}

// arrivalStep is the longest step between arrivals, so that a change of rate
// is followed.
const arrivalStep = 100 * time.Millisecond

func (p *play) arrive(w workload, end time.Duration) {
	since := p.clock.now.Sub(p.start)
	if since >= end {
		return
	}
	gap := seconds(p.random.ExpFloat64() / max(w.rate(since), 1e-9))
	p.clock.after(min(gap, arrivalStep), func() {
		if gap < arrivalStep {
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
	r := &request{
		w:        w,
		id:       fmt.Sprintf("r%d", p.serial),
		customer: fmt.Sprintf("c%d", customer),
		answer:   1 + int(float64(w.answer)*(0.25+1.5*p.random.Float64())),
		arrived:  p.clock.now,
	}
	r.prompt = w.prompt
	if w.spread > 0 {
		r.prompt = logNormal(p.random, float64(w.prompt), w.spread)
	}
	p.requests = append(p.requests, r)
	p.of(r, func(t *tally) { t.offered++ })
	return r
}

// receive places the request's tickets.
func (p *play) receive(r *request) {
	r.tried = nil
	r.refusals = nil
	r.holders = map[*playEngine]bool{}
	p.place(r, p.copies(r.w.tier))
}

// place sends a ticket to n more engines, as far as there are any.
func (p *play) place(r *request, n int) {
	candidates := make([]Candidate, 0, len(p.engines))
	for _, e := range p.engines {
		candidates = append(candidates, e.report())
	}
	names := p.placer.Pick(p.clock.now, Placement{Tier: r.w.tier, Exclude: r.tried}, candidates, n)
	r.tried = append(r.tried, names...)
	var chosen []*playEngine
	for _, e := range p.engines {
		if slices.Contains(names, e.name) {
			r.holders[e] = true
			chosen = append(chosen, e)
		}
	}
	for _, e := range chosen {
		if !r.granted {
			e.offer(r)
		}
	}
}

// taken withdraws the other tickets of a granted request.
func (p *play) taken(by *playEngine, r *request) {
	for e := range r.holders {
		if e != by {
			e.scheduler.Withdraw(r.id)
			delete(e.waiting, r.id)
		}
	}
	if r.run > 0 {
		wait := p.clock.now.Sub(r.cancelled)
		p.of(r, func(t *tally) { t.longestResume = max(t.longestResume, wait) })
		return
	}
	wait := p.clock.now.Sub(r.arrived)
	p.of(r, func(t *tally) { t.longestWait = max(t.longestWait, wait) })
}

// refused drops a ticket; with the last one its caller is told.
func (p *play) refused(e *playEngine, r *request, d Decision) {
	delete(r.holders, e)
	r.refusals = append(r.refusals, d)
	if !r.granted && (len(r.refusals) < playRefusals || r.w.tier == TopTier) {
		p.place(r, 1)
	}
	if r.granted || len(r.holders) > 0 || r.again {
		return
	}
	hint := Hint(r.refusals)
	p.of(r, func(t *tally) {
		t.refused++
		t.comeback++
		t.hinted += hint
	})
	p.clock.after(hint, func() {
		r.again = true
		r.soon = p.clock.now.Sub(p.start) < p.burstEnd
		if r.soon {
			p.of(r, func(t *tally) { t.soon++ })
		}
		r.arrived = p.clock.now
		r.id += "b"
		p.receive(r)
	})
}

func (p *play) finished(r *request) {
	now := p.clock.now
	onTime := !r.late(now)
	since := now.Sub(p.start)
	r.served = true
	p.of(r, func(t *tally) {
		t.ran += now.Sub(r.began)
		if onTime && since >= measureFrom && since < measureTo {
			t.inBurst++
		}
		switch {
		case r.again && onTime:
			t.comebackIn++
			if r.soon {
				t.soonIn++
			}
		case r.again:
		default:
			t.whole++
			if onTime {
				t.onTime++
			}
		}
	})
}

// wasted is the share of slot time that cancelled runs cost.
func (p *play) wasted() float64 {
	var ran, wasted time.Duration
	for _, t := range p.tallies {
		ran += t.ran
		wasted += t.wasted
	}
	return wasted.Seconds() / max(ran.Seconds(), 1)
}

func (p *play) report(classes ...workload) string {
	var b strings.Builder
	for _, w := range classes {
		t := p.tally(w.class)
		fmt.Fprintf(&b, "\n%-9s offered %d, whole %d, on time %d (%.4f), goodput in the burst %.2f/s, refused %d (%.3f succeeded on coming back), preempted %d, longest wait %.2f s, to be resumed %.2f s",
			w.class, t.offered, t.whole, t.onTime, t.attained(), t.goodput(), t.refused, t.honest(), t.preempted, t.longestWait.Seconds(), t.longestResume.Seconds())
	}
	fmt.Fprintf(&b, "\nwasted %.4f of slot time; limits", p.wasted())
	for _, e := range p.engines {
		fmt.Fprintf(&b, " %d", e.scheduler.Load().Limit)
	}
	return b.String()
}
