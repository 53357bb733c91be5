package router

import (
	"time"

	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/policy"
)

// spots are the servers as the policy sees them.
func (r *Router) spots(servers []*backend.Server) []policy.Spot {
	spots := make([]policy.Spot, len(servers))
	for i, s := range servers {
		info := s.Info()
		running, pending, tokens := r.Others.At(info.ID)
		spots[i] = policy.Spot{
			Name: info.ID, Zone: info.Zone, Slots: info.Slots,
			Leaving: info.Leaving, Warming: info.WarmupLeft > 0,
			Running:       running + int(s.Running.Load()),
			Pending:       pending + int(s.Pending.Load()),
			PendingTokens: tokens + int(s.PendingTokens.Load()),
		}
	}
	return spots
}

func (r *Router) pick(errand policy.Errand, spots []policy.Spot) (at, reading int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Chooser.Choose(time.Now(), errand, spots)
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
