package router

import (
	"math"
	"time"

	"github.com/applepier/applepier/policy"
	"github.com/applepier/applepier/policy/isolation"
)

const (
	// maxClassSamples bounds the weight of older requests in the means of a class, so that they follow
	// a change of the traffic within a few dozen requests.
	maxClassSamples = 64.0
	// minClassSamples is the number of requests from which on the mean prompt of a class is used.
	minClassSamples = 4.0
	// minRateSamples is the number of requests that a class must have for its prefill rate to count as
	// that of the service.
	minRateSamples = 16.0
	// reservationLogInterval is the least time between two log lines on a service's reservation.
	reservationLogInterval = time.Second
	// pauseTargetPeriod is how long the tightest pause target of a class counts after its last request:
	// routes of one urgency level may have different targets.
	pauseTargetPeriod = 10 * time.Second
	// loggedReservationChange is the least change of the number of reserved servers that is logged, as
	// a fraction of the number logged last.
	loggedReservationChange = 0.1
)

// reservation decides which servers of a service are reserved for streams with a tight target for
// pauses. The zero value is ready to use.
type reservation struct {
	planner isolation.Planner
	classes [policy.UrgencyLevels]classMeans
	// load is the input of the planner, reused by each call.
	load isolation.Load
	plan isolation.Plan
	// loggedCount is the number of reserved servers that was logged last, at loggedAt.
	loggedCount int
	loggedAt    time.Time
}

// classMeans holds what a gateway has observed of the requests of one urgency level.
type classMeans struct {
	// pauseTarget is the tightest one of the recent requests, 0 for none, and pauseTargetAt the time of
	// the last request with it.
	pauseTarget   time.Duration
	pauseTargetAt time.Time
	// prefillTokens is the mean number of tokens to prefill, over samples requests.
	prefillTokens, samples float64
	// reservedStreams and otherStreams are the mean times from the first event to the last of streams on
	// servers that were reserved, and on others, where streams may have been stalled.
	reservedStreams, otherStreams meanTime
}

// observePrefill records the number of tokens to prefill of a request that is sent.
func (m *classMeans) observePrefill(tokens int) {
	m.samples = min(m.samples+1, maxClassSamples)
	m.prefillTokens += (float64(tokens) - m.prefillTokens) / m.samples
}

// observePauseTarget records the pause target of a request.
func (m *classMeans) observePauseTarget(now time.Time, target time.Duration) {
	tightest := target > 0 && (m.pauseTarget == 0 || target <= m.pauseTarget)
	if tightest || now.Sub(m.pauseTargetAt) >= pauseTargetPeriod {
		m.pauseTarget, m.pauseTargetAt = target, now
	}
}

// observeStreamTime records the time of a complete stream.
func (m *classMeans) observeStreamTime(d time.Duration, reserved bool) {
	if reserved {
		m.reservedStreams.add(d)
	} else {
		m.otherStreams.add(d)
	}
}

// streamTime returns the mean time of streams on reserved servers, or of all if there were too few.
func (m *classMeans) streamTime() time.Duration {
	if m.reservedStreams.samples >= minClassSamples {
		return m.reservedStreams.mean
	}
	return m.otherStreams.mean
}

// meanTime is a mean over the newest samples.
type meanTime struct {
	mean    time.Duration
	samples float64
}

func (m *meanTime) add(d time.Duration) {
	m.samples = min(m.samples+1, maxClassSamples)
	m.mean += time.Duration(float64(d-m.mean) / m.samples)
}

// reserveServers marks the reserved servers in loads, and the job if reservations apply to it. offers
// holds the offers of all gateways, and othersOffers those of the others. It returns the plan and whether
// it is to be reported. r.mu must be held.
func (r *Router) reserveServers(now time.Time, service string, job *policy.Job, pauseTarget time.Duration, loads []policy.Server, offers, othersOffers *policy.OfferCounts) (plan isolation.Plan, report bool) {
	if job.Tokens == 0 {
		return isolation.Plan{}, false
	}
	s := r.serviceFor(service)
	reserved := &s.reservation
	reserved.classes[job.Urgency].observePauseTarget(now, pauseTarget)
	ejected := func(name string) bool { return r.Ejector.Ejected(now, name) }
	reserved.setLoad(loads, offers, s.prefillRates[:], ejected)
	reserved.plan = reserved.planner.Plan(now, &reserved.load)
	plan = reserved.plan
	for i := range loads {
		loads[i].Reserved, loads[i].PrefillBudget = plan.Reserved[i], 0
		if !math.IsInf(plan.Budget[i], 1) {
			loads[i].PrefillBudget = plan.Budget[i]
		}
	}
	job.MaxWaitingTokens = plan.MaxWaitingTokens[job.Urgency]
	job.Protected, job.BoundByReservation = plan.Protected[job.Urgency], plan.Bound[job.Urgency]
	if job.Protected {
		job.UnreportedProtected = job.UnreportedRequests * protectedShare(&plan, othersOffers)
	}
	return plan, reserved.toReport(now)
}

// setLoad sets the input of the planner.
func (v *reservation) setLoad(loads []policy.Server, offers *policy.OfferCounts, rates []policy.PrefillRate, ejected func(name string) bool) {
	v.load.PrefillRate = 0
	longest, offered := 0.0, offers.Rates()
	for u := range v.classes {
		m := &v.classes[u]
		class := isolation.Class{PauseTarget: m.pauseTarget, Rate: offered[u], StreamTime: m.streamTime()}
		if m.samples >= minClassSamples {
			class.PrefillTokens = m.prefillTokens
		}
		v.load.Classes[u] = class
		// The rate is estimated best from long prompts, whose fixed time matters least.
		if m.samples >= minRateSamples && m.prefillTokens > longest {
			longest = m.prefillTokens
			v.load.PrefillRate, _ = rates[u].TokensPerMillisecond()
		}
	}
	v.load.Servers = v.load.Servers[:0]
	for i := range loads {
		s := &loads[i]
		v.load.Servers = append(v.load.Servers, isolation.Server{
			Key: policy.KeyOf(s.Name), Slots: s.Slots, Slowdown: s.Slowdown,
			Usable: !s.Draining && s.BackoffLeft == 0 && !s.Unresponsive && !ejected(s.Name),
		})
	}
}

// protectedShare returns the share of offers that is of protected levels.
func protectedShare(plan *isolation.Plan, offers *policy.OfferCounts) float64 {
	protected, total := 0.0, 0.0
	for u, level := range offers {
		total += level.Offered
		if plan.Protected[u] {
			protected += level.Offered
		}
	}
	if total <= 0 {
		return 1
	}
	return protected / total
}

// toReport reports whether the number of reserved servers has changed considerably since it last did.
func (v *reservation) toReport(now time.Time) bool {
	count := v.plan.Count
	change := math.Abs(float64(count - v.loggedCount))
	begunOrEnded := (count == 0) != (v.loggedCount == 0)
	if !begunOrEnded && change <= loggedReservationChange*float64(v.loggedCount) || now.Sub(v.loggedAt) < reservationLogInterval {
		return false
	}
	v.loggedCount, v.loggedAt = count, now
	return true
}

// observePauseTarget records that a stream has exceeded its target, if the given pause does. Pauses of streams that
// were sent to several servers are ignored: they reflect the failure of a server. Further calls do nothing.
func (r *Router) observePauseTarget(c *call, pause time.Duration) {
	if c.stream.pauseCounted || c.route.PauseTarget == 0 || c.sends > 1 || pause <= c.route.PauseTarget {
		return
	}
	c.stream.pauseCounted = true
	r.Observer.StreamPaused()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.countPauses(c, policy.PauseCounts{Late: 1})
}

// observeStreamEnd records a complete stream that was sent to one server.
func (r *Router) observeStreamEnd(c *call) {
	if c.route.PauseTarget == 0 || c.sends > 1 || c.stream.pauseCount == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.serviceFor(c.service).reservation.classes[c.urgency].observeStreamTime(c.stream.lastSentAt.Sub(c.stream.firstSentAt), c.serverReserved)
	if !c.stream.pauseCounted {
		r.countPauses(c, policy.PauseCounts{OnTime: 1})
	}
}

// countPauses records counts of a call's service and urgency here and for the next update to other
// gateways. r.mu must be held.
func (r *Router) countPauses(c *call, counts policy.PauseCounts) {
	counts.Service, counts.Urgency = policy.KeyOf(c.service), c.urgency
	r.serviceFor(c.service).reservation.observePauses(time.Now(), counts)
	r.updates.addPauseCounts(counts)
}

// observePauses records pause counts.
func (v *reservation) observePauses(now time.Time, counts policy.PauseCounts) {
	v.planner.ObserveStreams(now, counts.Urgency, counts.Late, counts.OnTime)
}

// ReservedServerCount returns the number of backend servers, over all services, that were reserved
// when a server was last chosen.
func (r *Router) ReservedServerCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, s := range r.services {
		count += s.reservation.plan.Count
	}
	return count
}
