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
		counts := r.Others.At(s.Key())
		own := s.Load.Counts(now)
		counts.Add(&own, 1)
		loads[i] = policy.Server{
			Name: info.ID, Key: s.Key(), Zone: info.Zone, Slots: info.Slots, Conns: conns,
			Leaving: info.Leaving, Warming: info.WarmupLeft > 0,
			Running: counts.Running, Pending: counts.Pending,
		}
	}
	return loads
}

// send notes that a prompt goes to a server now, and returns when it is expected
// to be read there.
func (r *Router) send(service string, server *backend.Server, shared []policy.Part, choice policy.Choice) policy.ReadingPlan {
	now, memory := time.Now(), r.memory(service)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Memories.Sent(now, server.Key(), shared, memory)
	return r.rates[service].Plan(now, choice.Reading, choice.Ahead)
}

// memory is the size of the memory of a service's servers in tokens; 0 when
// that isn't known.
func (r *Router) memory(service string) int {
	set := r.Holder.Current()
	if set == nil || set.Services[service] == nil || set.Services[service].Engine == nil {
		return 0
	}
	return set.Services[service].Engine.MemoryTokens
}

// News returns what is to be told to other gateways of the servers' memories.
func (r *Router) News() []policy.KeptRead {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Memories.News()
}

// Heard takes what another gateway tells of the servers' memories. What it
// tells of servers that aren't listed here is left out: nothing would forget it.
func (r *Router) Heard(reads []policy.KeptRead) {
	known := reads[:0]
	sizes := make(map[uint32]int, len(reads))
	for _, read := range reads {
		if service, ok := r.Registry.ServiceOf(read.Server); ok {
			sizes[read.Server] = r.memory(service)
			known = append(known, read)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Memories.Heard(time.Now(), known, func(server uint32) int { return sizes[server] })
}

func (r *Router) pick(service string, job policy.Job, loads []policy.Server) policy.Choice {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Chooser.Choose(time.Now(), job, loads, r.rates[service])
}

// observeFirst takes how long a first token took with so much to be read
// before it.
func (r *Router) observeFirst(service string, ahead float64, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rate := r.rates[service]
	if rate == nil {
		rate = &policy.ReadingRate{}
		r.rates[service] = rate
	}
	rate.Observe(ahead, took)
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
	r.Memories.Forget(backend.KeyOf(server))
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
