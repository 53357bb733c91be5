package router

import (
	"time"

	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/policy"
)

// loads are the servers as the policy sees them.
func (r *Router) loads(servers []*backend.Server, conns int) []policy.Server {
	loads := make([]policy.Server, len(servers))
	now := time.Now()
	for i, s := range servers {
		info := s.Info()
		counts := r.Others.At(info.ID)
		own := s.Load.Counts(now)
		counts.Add(&own, 1)
		loads[i] = policy.Server{
			Name: info.ID, Zone: info.Zone, Slots: info.Slots, Conns: conns,
			Leaving: info.Leaving, Warming: info.WarmupLeft > 0,
			Running: counts.Running, Pending: counts.Pending,
		}
	}
	return loads
}

// plan is when a server of a service is expected to read a prompt that goes
// there now.
func (r *Router) plan(service string, choice policy.Choice) policy.ReadingPlan {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, now := r.service(service), time.Now()
	s.sends.Sent(now)
	return s.rate.Plan(now, choice.Reading, choice.Ahead)
}

// pick has the policy choose a server. First says that it is the request's first
// choice: only that counts as offered.
func (r *Router) pick(service string, job policy.Job, loads []policy.Server, first bool) policy.Choice {
	lacking := r.Others.Shortage(service)
	now, others := time.Now(), float64(r.Others.Gateways()-1)
	r.mu.Lock()
	defer r.mu.Unlock()
	// Others have as many callers as this gateway, as far as it can know.
	s := r.service(service)
	job.Unseen = others * s.sends.Within(now, r.Others.Unseen())
	own := s.shortage.Counts(now)
	lacking.Add(&own, 1)
	job.Yield = s.yielding.Share(now, &lacking, job.Urgency)
	choice := r.Chooser.Choose(now, job, loads, &s.rate)
	if first {
		s.shortage.Offered(now, job.Urgency, choice.OnlySlots)
	}
	return choice
}

// Shortages are what this gateway was short of lately, by service.
func (r *Router) Shortages() map[string]policy.Shortage {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	shortages := make(map[string]policy.Shortage, len(r.services))
	for name, s := range r.services {
		shortages[name] = s.shortage.Counts(now)
	}
	return shortages
}

// observeFirst takes how long a first token took with so much to be read
// before it.
func (r *Router) observeFirst(service string, ahead float64, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service(service).rate.Observe(ahead, took)
}

func (r *Router) observe(server string, o policy.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Ejector.Observe(time.Now(), server, o)
}

// Forget drops what is known of a server that isn't listed any more.
func (r *Router) Forget(server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Ejector.Forget(server)
}

func (r *Router) countRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(service).Request(time.Now())
}

func (r *Router) allowRepeat(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(service).Allow(time.Now())
}
