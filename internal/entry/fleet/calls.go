package fleet

import (
	"context"
	"slices"

	"github.com/applepier/applepier/internal/storage"
	"github.com/applepier/applepier/internal/wire"
	"github.com/applepier/applepier/policy"
)

// Candidates lists the agents of a model or service that may take a ticket.
func (f *Fleet) Candidates(serves string) []policy.Candidate {
	var candidates []policy.Candidate
	for _, l := range f.snapshot() {
		if c, ok := l.candidate(serves); ok {
			candidates = append(candidates, c)
		}
	}
	return candidates
}

// Serves lists the models or services that any listed VM has.
func (f *Fleet) Serves() []string {
	vms, _ := f.VMs()
	var names []string
	for _, vm := range vms {
		if vm.Role == storage.RoleBackend && vm.Serves != "" {
			names = append(names, vm.Serves)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Place sends a ticket to an agent; false means that it can't be reached now.
func (f *Fleet) Place(agent string, t *wire.Ticket, listener Listener) bool {
	l, ok := f.find(agent)
	return ok && l.place(t, listener)
}

// Withdraw takes a ticket back from an agent.
func (f *Fleet) Withdraw(agent, request string, attempt int) {
	if l, ok := f.find(agent); ok {
		l.withdraw(request, attempt)
	}
}

// Void asks an agent to make a grant unusable; ErrNoAnswer when it can't be
// asked.
func (f *Fleet) Void(ctx context.Context, agent, grant string) (wire.VoidResult, error) {
	l, ok := f.find(agent)
	if !ok {
		return "", ErrNoAnswer
	}
	return l.void(ctx, grant)
}

// Addr is an agent's address.
func (f *Fleet) Addr(agent string) (string, bool) {
	l, ok := f.find(agent)
	if !ok {
		return "", false
	}
	return l.addr(), true
}
