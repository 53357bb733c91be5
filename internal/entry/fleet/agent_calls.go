package fleet

import (
	"context"
	"slices"

	"github.com/applepier/applepier/internal/storage"
	"github.com/applepier/applepier/internal/wire"
	"github.com/applepier/applepier/policy"
)

// Candidates returns the connected agents of a model or plain service that
// can take a ticket.
func (f *Fleet) Candidates(serves string) []policy.Candidate {
	var candidates []policy.Candidate
	for _, l := range f.snapshot() {
		if c, ok := l.candidate(serves); ok {
			candidates = append(candidates, c)
		}
	}
	return candidates
}

// Serves returns the sorted names of the models and plain services that
// listed VMs serve.
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

// Place sends a ticket to an agent; handler receives the reply. It returns
// false if the agent is not connected.
func (f *Fleet) Place(agent string, t *wire.Ticket, handler TicketHandler) bool {
	l, ok := f.findLink(agent)
	return ok && l.place(t, handler)
}

// Withdraw cancels a ticket at an agent. Nothing is sent if the ticket has been
// answered already.
func (f *Fleet) Withdraw(agent, request string, attempt int) {
	if l, ok := f.findLink(agent); ok {
		l.withdraw(request, attempt)
	}
}

// Void asks an agent to make an unused grant unusable and returns the agent's
// response. It returns ErrNoResponse if the agent is not connected or does not
// respond in time.
func (f *Fleet) Void(ctx context.Context, agent, grant string) (wire.VoidResult, error) {
	l, ok := f.findLink(agent)
	if !ok {
		return "", ErrNoResponse
	}
	return l.void(ctx, grant)
}

// Addr returns an agent's host:port; false if this entry does not connect to it.
func (f *Fleet) Addr(agent string) (string, bool) {
	l, ok := f.findLink(agent)
	if !ok {
		return "", false
	}
	return l.addr(), true
}
