package router

import (
	"maps"
	"time"

	"github.com/applepier/applepier/policy"
	"github.com/applepier/applepier/policy/serverspeed"
)

// serverSpeeds holds the speeds of a service's listed servers. The zero value is ready to use.
type serverSpeeds struct {
	estimator serverspeed.Estimator
	// instances holds the instance of each listed server.
	instances map[policy.Key]policy.Key
}

// setSlowdowns sets the slowdown of each server in loads, which are all listed servers of the service.
// It discards what was learned of servers that aren't among them and of earlier instances.
func (s *serverSpeeds) setSlowdowns(now time.Time, loads []policy.Server) {
	if s.instances == nil {
		s.instances = make(map[policy.Key]policy.Key, len(loads))
	}
	for i := range loads {
		server := policy.KeyOf(loads[i].Name)
		if instance, listed := s.instances[server]; !listed || instance != loads[i].Instance {
			s.estimator.RemoveServer(server)
			s.instances[server] = loads[i].Instance
		}
		loads[i].Slowdown = s.estimator.Slowdown(now, server)
	}
	if len(s.instances) > len(loads) {
		s.removeUnlisted(loads)
	}
}

// removeUnlisted removes the servers that aren't in loads.
func (s *serverSpeeds) removeUnlisted(loads []policy.Server) {
	listed := make(map[policy.Key]bool, len(loads))
	for i := range loads {
		listed[policy.KeyOf(loads[i].Name)] = true
	}
	maps.DeleteFunc(s.instances, func(server, _ policy.Key) bool {
		if !listed[server] {
			s.estimator.RemoveServer(server)
		}
		return !listed[server]
	})
}

// observe records an event interval. It ignores those of servers that aren't listed: other gateways may
// report on a server after it is gone.
func (s *serverSpeeds) observe(now time.Time, sample policy.EventInterval) {
	if _, listed := s.instances[sample.Server]; listed {
		s.estimator.Observe(now, sample.Server, sample.Interval)
	}
}

// remove discards what was learned of a server that is no longer listed.
func (s *serverSpeeds) remove(server policy.Key) {
	s.estimator.RemoveServer(server)
	delete(s.instances, server)
}

// observeEventInterval records the time between the latest events of a stream. It ignores streams that
// were sent to several servers, and resumed ones: a server may send at once the events that it had
// generated before.
func (r *Router) observeEventInterval(c *call) {
	interval := c.stream.intervals.takeSample()
	if interval <= 0 || interval > serverspeed.MaxInterval || c.sends > 1 || c.params.LastEventID != "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	sample := policy.EventInterval{Service: policy.KeyOf(c.service), Server: policy.KeyOf(c.serverID), Interval: interval}
	r.serviceFor(c.service).serverSpeeds.observe(time.Now(), sample)
	r.updates.addEventInterval(sample)
}

// mergeEventIntervals records event intervals that another gateway has measured. r.mu must be held.
func (r *Router) mergeEventIntervals(now time.Time, samples []policy.EventInterval) {
	for _, sample := range samples {
		if s := r.serviceByKey(sample.Service); s != nil {
			s.serverSpeeds.observe(now, sample)
		}
	}
}

// DistinguishedServers returns the numbers of backend servers, over all services, that are faster and
// slower than most servers of their service.
func (r *Router) DistinguishedServers() (faster, slower int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, s := range r.services {
		f, sl := s.serverSpeeds.estimator.Distinguished(now)
		faster, slower = faster+f, slower+sl
	}
	return faster, slower
}

// ServerSlowdowns returns the slowdown of each backend server, by service and server ID.
func (r *Router) ServerSlowdowns() map[string]map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	slowdowns := make(map[string]map[string]float64, len(r.services))
	for service, state := range r.services {
		byServer := map[string]float64{}
		for _, server := range r.Registry.Servers(service) {
			id := server.Info().ID
			byServer[id] = state.serverSpeeds.estimator.Slowdown(now, policy.KeyOf(id))
		}
		slowdowns[service] = byServer
	}
	return slowdowns
}
