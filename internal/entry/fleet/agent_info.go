package fleet

import (
	"time"

	"github.com/applepier/applepier/internal/storage"
	"github.com/applepier/applepier/policy"
)

// AgentInfo holds the last known state of one agent and the time of its last
// message.
type AgentInfo struct {
	VM        storage.VM
	Connected bool
	Draining  bool
	// BackendServerDown is set if the agent's backend server cannot be reached
	// or is loading a model.
	BackendServerDown bool
	// Waiting and Running count requests and Limit bounds Running, as of the
	// last Status.
	Waiting, Running, Limit int
	// LastMessageAt is when the last message was received; zero if none was.
	LastMessageAt time.Time
	// TargetsVersion is the agent's targets version as of its last message.
	TargetsVersion uint64
	// Serves is the model or plain service as reported by the agent. VM.Serves
	// may be out of date after an address was reassigned to another VM.
	Serves string
	// CanLoadModels is set if the backend server accepts orders to load a
	// model.
	CanLoadModels bool
	// SoftwareVersion is the version of its engine as of the last Status; empty if
	// the engine reports none.
	SoftwareVersion string
}

// Agents returns the last known state of each agent that this entry connects to.
func (f *Fleet) Agents() []AgentInfo {
	var agents []AgentInfo
	for _, l := range f.snapshot() {
		agents = append(agents, l.info())
	}
	return agents
}

func (l *link) info() AgentInfo {
	l.mu.Lock()
	defer l.mu.Unlock()
	return AgentInfo{
		VM:                l.vm,
		Connected:         l.conn != nil,
		Draining:          l.vm.Draining || l.status.Draining,
		BackendServerDown: l.status.BackendServerDown,
		Waiting:           l.status.Waiting,
		Running:           l.status.Running,
		Limit:             l.status.Limit,
		LastMessageAt:     l.lastMessageAt,
		TargetsVersion:    l.targetsVersion,
		Serves:            l.hello.Serves,
		CanLoadModels:     l.hello.LoadsModels,
		SoftwareVersion:   l.status.SoftwareVersion,
	}
}

// candidate returns the agent as a placement candidate; false if it cannot take
// tickets for serves.
func (l *link) candidate(serves string) (policy.Candidate, bool) {
	info := l.info()
	if info.Serves != serves || !info.Connected || info.Draining || info.BackendServerDown {
		return policy.Candidate{}, false
	}
	return policy.Candidate{
		Name:       info.VM.Name,
		Zone:       info.VM.Zone,
		Waiting:    info.Waiting,
		Running:    info.Running,
		Limit:      info.Limit,
		ReportedAt: info.LastMessageAt,
		Version:    info.SoftwareVersion,
	}, true
}

// hasPendingWork reports whether a ticket or a Void is unanswered.
func (l *link) hasPendingWork() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pending.count() > 0 || len(l.pendingVoids) > 0
}

func (l *link) updateVM(vm storage.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vm = vm
}

func (l *link) addr() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.vm.Addr
}
