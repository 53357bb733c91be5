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
			Name: info.ID, Start: info.Start(), Zone: info.Zone, Slots: info.Slots, Conns: conns,
			Leaving: info.Leaving, Warming: info.WarmupLeft > 0,
			Running: counts.Running, Pending: counts.Pending,
		}
	}
	return loads
}

// meanTokens is the prompt length by which a request is admitted that has just come: about the
// mean of its route's. The request counts for those that come after it.
func (r *Router) meanTokens(service, route string, tokens int) float64 {
	if tokens == 0 {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	sizes := &r.service(service).sizes
	mean := sizes.Mean(route, tokens)
	sizes.Observe(route, tokens)
	return mean
}

// plan is when a server of a service is expected to read a prompt that goes
// there now.
func (r *Router) plan(c *call, choice policy.Choice) policy.PrefillPlan {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, now := r.service(c.service), time.Now()
	s.sends.Sent(now, c.urgency, choice.Prefill)
	r.Index.Sent(now, policy.KeyOf(c.server), c.shared)
	return s.rates[c.urgency].Plan(now, choice.Prefill, choice.Ahead)
}

// pick has the policy choose a server. First says that it is the request's first
// choice: only that counts as offered; pause is the target for its pauses.
func (r *Router) pick(service string, job policy.Job, pause time.Duration, loads []policy.Server, first bool) policy.Choice {
	lacking := r.Others.Shortage(service)
	now, others := time.Now(), float64(r.Others.Gateways()-1)
	r.mu.Lock()
	defer r.mu.Unlock()
	// Others have as many callers as this gateway, as far as it can know.
	s := r.service(service)
	requests, tokens := s.sends.Within(now, r.Others.Unseen(), job.Urgency)
	// News is half as old as it can be at the mean.
	job.Unseen, job.UnseenTokens, job.NewsAge = others*requests, others*tokens/2, r.Others.Unseen()/2
	job.UnseenOffers, job.OtherSenders = lacking.Within(r.Others.Unseen()), others
	own := s.shortage.Counts(now)
	lacking.Add(&own, 1)
	r.allowances(now, loads)
	for i := range loads {
		server := policy.KeyOf(loads[i].Name)
		loads[i].LatePause = s.pauses.Worse(now, server, job.Urgency, pause)
		loads[i].Unresponsive = r.unresponsive.LeftOut(now, server)
	}
	job.Headroom = s.yielding.Share(now, &lacking, policy.SlotsInUse(loads), job.Urgency)
	r.limits.Draw(now, r.Random, &job, loads)
	choice := r.Chooser.Choose(now, job, loads, &s.rates[job.Urgency])
	if first {
		s.shortage.Offered(now, job.Urgency, choice.OnlySlots || choice.Limited)
	}
	if choice.Found && (choice.InTime || !first || job.Tokens == 0 && choice.Room) {
		r.countLimited(now, &loads[choice.At])
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
// before it; the server holds the prompt's parts from now on.
func (r *Router) observeFirst(c *call, ahead float64, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.service(c.service).rates[c.urgency].Observe(now, ahead, took)
	r.outbox.first(policy.FirstToken{Service: policy.KeyOf(c.service), Server: policy.KeyOf(c.server), Urgency: c.urgency, Ahead: ahead, Took: took})
	r.Index.Read(now, policy.KeyOf(c.server), c.shared)
	r.unresponsive.Answered(policy.KeyOf(c.server))
}

// observePause takes the longest pause of a stream that one server made whole.
func (r *Router) observePause(c *call) {
	if c.route.Pause == 0 || c.sends > 1 || c.stream.pauses < leastPauses {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	pause := policy.Pause{
		Service: policy.KeyOf(c.service), Server: policy.KeyOf(c.server), Urgency: c.urgency, Longest: c.stream.pause,
	}
	r.service(c.service).pauses.Observe(time.Now(), pause)
	r.outbox.pause(pause)
}

// Merge merges another gateway's updates.
func (r *Router) Merge(news policy.News) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.Index.Merge(now, news.Uses)
	r.quarantine.Merge(now, news.Suspicions)
	r.limits.Merge(news.Limits)
	for _, f := range news.Firsts {
		r.unresponsive.Answered(f.Server)
		if s := r.known(f.Service); s != nil {
			s.rates[f.Urgency].Observe(now, f.Ahead, f.Took)
		}
	}
	for _, server := range news.Unanswered {
		r.unresponsive.Unanswered(now, server)
	}
	for _, p := range news.Pauses {
		if s := r.known(p.Service); s != nil {
			s.pauses.Observe(now, p)
		}
	}
}

// known returns a service by its key; nil for one that hasn't been asked for
// here.
func (r *Router) known(key policy.Key) *service {
	for name, s := range r.services {
		if policy.KeyOf(name) == key {
			return s
		}
	}
	return nil
}

// News is what others have to be told.
func (r *Router) News() policy.News {
	r.mu.Lock()
	defer r.mu.Unlock()
	samples, now := r.outbox.take(), time.Now()
	return policy.News{
		Uses: r.Index.News(now), Firsts: samples.firsts, Pauses: samples.pauses, Unanswered: samples.unanswered,
		Suspicions: r.quarantine.News(now), Limits: r.limits.News(now),
	}
}

// unreachable notes that a server can't be connected to: it may have crashed, and
// then holds nothing when it is back.
func (r *Router) unreachable(server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Ejector.Observe(time.Now(), server, policy.OutcomeFailed)
	r.Index.Forget(policy.KeyOf(server))
	r.noAnswer(server)
}

// unanswered notes that a server left a request without an answer.
func (r *Router) unanswered(server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Ejector.Observe(time.Now(), server, policy.OutcomeFailed)
	r.noAnswer(server)
}

// noAnswer notes, here and for others, that a server didn't answer; r.mu is held.
func (r *Router) noAnswer(server string) {
	key := policy.KeyOf(server)
	r.unresponsive.Unanswered(time.Now(), key)
	r.outbox.noAnswer(key)
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
	r.unresponsive.Forget(policy.KeyOf(server))
	r.Index.Forget(policy.KeyOf(server))
	for _, s := range r.services {
		s.pauses.Forget(policy.KeyOf(server))
	}
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
