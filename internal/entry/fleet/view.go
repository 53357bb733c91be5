package fleet

import (
	"time"

	"github.com/applepier/applepier/internal/storage"
	"github.com/applepier/applepier/policy"
)

// AgentView is what is known of one agent, and how old that is.
type AgentView struct {
	VM        storage.VM
	Connected bool
	Leaving   bool
	// EngineDown says that the agent can't reach its backend server.
	EngineDown              bool
	Waiting, Running, Limit int
	// Seen is when it was last heard from; zero when never.
	Seen time.Time
	// Targets is the version it had in force then.
	Targets uint64
	// Serves is the model or service the agent itself names; the list may be
	// out of date when an address has passed to another VM.
	Serves string
	// Loads says that its backend server takes orders to load a model.
	Loads bool
}

// Agents lists what is known of each agent that this entry connects to.
func (f *Fleet) Agents() []AgentView {
	var views []AgentView
	for _, l := range f.snapshot() {
		views = append(views, l.view())
	}
	return views
}

func (l *link) view() AgentView {
	l.mu.Lock()
	defer l.mu.Unlock()
	return AgentView{
		VM:         l.vm,
		Connected:  l.conn != nil,
		Leaving:    l.vm.Leaving || l.status.Leaving,
		EngineDown: l.status.EngineDown,
		Waiting:    l.status.Waiting,
		Running:    l.status.Running,
		Limit:      l.status.Limit,
		Seen:       l.seen,
		Targets:    l.targets,
		Serves:     l.hello.Serves,
		Loads:      l.hello.Loads,
	}
}

func (l *link) candidate(serves string) (policy.Candidate, bool) {
	v := l.view()
	if v.Serves != serves || !v.Connected || v.Leaving || v.EngineDown {
		return policy.Candidate{}, false
	}
	return policy.Candidate{
		Name:    v.VM.Name,
		Zone:    v.VM.Zone,
		Waiting: v.Waiting,
		Running: v.Running,
		Limit:   v.Limit,
		Seen:    v.Seen,
	}, true
}

func (l *link) busy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tickets.count() > 0 || len(l.voids) > 0
}

func (l *link) update(vm storage.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vm = vm
}

func (l *link) addr() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.vm.Addr
}
