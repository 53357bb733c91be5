package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// simulation sends workloads to simulated engines in virtual time. Its entry places
// tickets and retries refused requests as real entries and callers do.
type simulation struct {
	clock        *virtualClock
	start        time.Time
	random       *rand.Rand
	placer       *Placer
	engines      []*simulatedEngine
	statsByKey   map[string]*requestStats
	requestCount int
	// requests are all requests that have arrived, retries not counted.
	requests []*request
	// copies returns at how many engines a request of a tier gets a ticket.
	copies func(Tier) int
	// burstEnd is the time since the start before which retries count as sent in the
	// burst.
	burstEnd time.Duration
}

// maxRefusals is how many engines refuse a request below the top tier before its
// caller is refused, as at an entry.
const maxRefusals = 4

// newSimulation returns a simulation of the engines, each with a scheduler that
// knows nothing of its engine.
func newSimulation(seed uint64, engines ...*fakeEngine) *simulation {
	random := rand.New(rand.NewPCG(seed, 1))
	s := &simulation{
		clock:      newVirtualClock(),
		random:     random,
		placer:     NewPlacer(random, NewEjector()),
		statsByKey: map[string]*requestStats{},
		copies:     Copies,
	}
	s.start = s.clock.now
	for i, e := range engines {
		s.engines = append(s.engines, &simulatedEngine{
			sim: s, name: fmt.Sprintf("engine-%d", i), engine: e, scheduler: NewScheduler(),
			waiting: map[string]*request{}, running: map[string]*request{},
		})
	}
	return s
}

// newFakeEngines returns n idle engines with the same batch size.
func newFakeEngines(n, batch int) []*fakeEngine {
	var engines []*fakeEngine
	for range n {
		engines = append(engines, newFakeEngine(batch))
	}
	return engines
}

// stats returns the counts of a class, or of a customer for "class/customer".
func (s *simulation) stats(key string) *requestStats {
	if s.statsByKey[key] == nil {
		s.statsByKey[key] = &requestStats{}
	}
	return s.statsByKey[key]
}

// updateStats calls update for each of the stats in which a request is counted.
func (s *simulation) updateStats(r *request, update func(*requestStats)) {
	update(s.stats(r.workload.class))
	update(s.stats(r.workload.class + "/" + r.customer))
}

// run simulates arrivals of the workloads for d, and then tail without arrivals.
func (s *simulation) run(d, tail time.Duration, workloads ...workload) {
	for _, w := range workloads {
		s.scheduleArrivals(w, d)
	}
	s.clock.runUntil(s.start.Add(d + tail))
}

// every calls check at each interval, with the time since the start, until that reaches
// until.
func (s *simulation) every(interval, until time.Duration, check func(since time.Duration)) {
	s.clock.afterFunc(interval, func() {
		since := s.clock.now.Sub(s.start)
		check(since)
		if since < until {
			s.every(interval, until, check)
		}
	})
}

// maxArrivalStep bounds the time after which the next arrival is drawn anew, so
// that arrivals follow a changing rate.
const maxArrivalStep = 100 * time.Millisecond

// scheduleArrivals submits requests of w in a Poisson process until a time since the
// start.
func (s *simulation) scheduleArrivals(w workload, end time.Duration) {
	since := s.clock.now.Sub(s.start)
	if since >= end {
		return
	}
	gap := secondsToDuration(s.random.ExpFloat64() / max(w.rate(since), 1e-9))
	s.clock.afterFunc(min(gap, maxArrivalStep), func() {
		if gap < maxArrivalStep {
			s.submit(s.newRequest(w))
		}
		s.scheduleArrivals(w, end)
	})
}

// newRequest draws a request's customer and lengths, and counts it as offered.
func (s *simulation) newRequest(w workload) *request {
	s.requestCount++
	customer := 0
	if w.customers > 1 && s.random.Float64() >= w.hotShare {
		customer = 1 + s.random.IntN(w.customers-1)
	}
	r := &request{
		workload:       w,
		id:             fmt.Sprintf("r%d", s.requestCount),
		customer:       fmt.Sprintf("c%d", customer),
		responseTokens: 1 + int(float64(w.responseTokens)*(0.25+1.5*s.random.Float64())),
		arrived:        s.clock.now,
	}
	r.promptTokens = w.promptTokens
	if w.promptSigma > 0 {
		r.promptTokens = logNormalLength(s.random, float64(w.promptTokens), w.promptSigma)
	}
	s.requests = append(s.requests, r)
	s.updateStats(r, func(stats *requestStats) { stats.offered++ })
	return r
}

// submit places the first tickets of a new request or a retry.
func (s *simulation) submit(r *request) {
	r.tried = nil
	r.refusals = nil
	r.ticketsAt = map[*simulatedEngine]bool{}
	s.placeTickets(r, s.copies(r.workload.tier))
}

// placeTickets offers tickets to n more engines, or to all that weren't tried if
// there are fewer.
func (s *simulation) placeTickets(r *request, n int) {
	candidates := make([]Candidate, 0, len(s.engines))
	for _, e := range s.engines {
		candidates = append(candidates, e.loadReport())
	}
	picked := s.placer.Pick(s.clock.now, PlacementRequest{Tier: r.workload.tier, Exclude: r.tried}, candidates, n)
	r.tried = append(r.tried, picked...)
	var chosen []*simulatedEngine
	for _, e := range s.engines {
		if slices.Contains(picked, e.name) {
			r.ticketsAt[e] = true
			chosen = append(chosen, e)
		}
	}
	for _, e := range chosen {
		if !r.granted {
			e.offer(r)
		}
	}
}

// handleGrant withdraws the other tickets of a request that engine by has granted, and
// records how long it waited.
func (s *simulation) handleGrant(by *simulatedEngine, r *request) {
	for e := range r.ticketsAt {
		if e != by {
			e.scheduler.Withdraw(r.id)
			delete(e.waiting, r.id)
		}
	}
	if r.run > 0 {
		wait := s.clock.now.Sub(r.preempted)
		s.updateStats(r, func(stats *requestStats) { stats.longestResumeWait = max(stats.longestResumeWait, wait) })
		return
	}
	wait := s.clock.now.Sub(r.arrived)
	s.updateStats(r, func(stats *requestStats) { stats.longestWait = max(stats.longestWait, wait) })
}

// handleRefusal handles the refusal of a ticket. The request is offered to another engine;
// when no ticket is left its caller is refused and retries once, after its Retry-After.
func (s *simulation) handleRefusal(e *simulatedEngine, r *request, d Decision) {
	delete(r.ticketsAt, e)
	r.refusals = append(r.refusals, d)
	if !r.granted && (len(r.refusals) < maxRefusals || r.workload.tier == TopTier) {
		s.placeTickets(r, 1)
	}
	if r.granted || len(r.ticketsAt) > 0 || r.retried {
		return
	}
	retryAfter := CombineRetryAfter(r.refusals)
	s.updateStats(r, func(stats *requestStats) {
		stats.refused++
		stats.retries++
		stats.totalRetryAfter += retryAfter
	})
	s.clock.afterFunc(retryAfter, func() {
		r.retried = true
		r.retriedInBurst = s.clock.now.Sub(s.start) < s.burstEnd
		if r.retriedInBurst {
			s.updateStats(r, func(stats *requestStats) { stats.retriesInBurst++ })
		}
		r.arrived = s.clock.now
		r.id += "b"
		s.submit(r)
	})
}

// handleCompletion counts a request whose complete response was generated.
func (s *simulation) handleCompletion(r *request) {
	now := s.clock.now
	onTime := !r.late(now)
	since := now.Sub(s.start)
	r.completed = true
	s.updateStats(r, func(stats *requestStats) {
		stats.runTime += now.Sub(r.runStart)
		if onTime && since >= measureStart && since < measureEnd {
			stats.onTimeMeasured++
		}
		switch {
		case r.retried && onTime:
			stats.retriesOnTime++
			if r.retriedInBurst {
				stats.retriesInBurstOnTime++
			}
		case r.retried:
		default:
			stats.completed++
			if onTime {
				stats.onTime++
			}
		}
	})
}

// wastedShare returns the time to prefill preempted prompts again as a share of the
// time that completed runs held slots. Both are counted once by class and once by customer.
func (s *simulation) wastedShare() float64 {
	var runTime, wastedTime time.Duration
	for _, stats := range s.statsByKey {
		runTime += stats.runTime
		wastedTime += stats.wastedTime
	}
	return wastedTime.Seconds() / max(runTime.Seconds(), 1)
}

// report describes the classes' results and the engines' limits for a test's log.
func (s *simulation) report(classes ...workload) string {
	var b strings.Builder
	for _, w := range classes {
		stats := s.stats(w.class)
		fmt.Fprintf(&b, "\n%-9s offered %d, completed %d, on time %d (%.4f), goodput %.2f/s, refused %d (%.3f of retries on time), preempted %d, longest wait %.2f s, longest wait to resume %.2f s",
			w.class, stats.offered, stats.completed, stats.onTime, stats.attainment(), stats.goodput(), stats.refused, stats.retrySuccess(), stats.preemptions, stats.longestWait.Seconds(), stats.longestResumeWait.Seconds())
	}
	fmt.Fprintf(&b, "\n%.4f of slot time wasted; concurrency limits", s.wastedShare())
	for _, e := range s.engines {
		fmt.Fprintf(&b, " %d", e.scheduler.Load().Limit)
	}
	return b.String()
}
