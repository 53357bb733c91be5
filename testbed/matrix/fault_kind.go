package matrix

// FaultKind is a kind of fault; its value is part of the cell's name.
type FaultKind string

// Kinds of faults. The entry, agent and engine are those that handle the subject.
const (
	KillEntry  FaultKind = "kill-entry"
	KillAgent  FaultKind = "kill-agent"
	KillEngine FaultKind = "kill-engine"
	// The Pause kinds send SIGSTOP and later SIGCONT.
	PauseEntry  FaultKind = "pause-entry"
	PauseAgent  FaultKind = "pause-agent"
	PauseEngine FaultKind = "pause-engine"
	// Cut closes the connections between entries and the agent.
	Cut FaultKind = "cut"
	// Silent drops all data on the existing connections for good; new
	// connections work. SilentUp and SilentDown drop one direction only.
	Silent     FaultKind = "silent"
	SilentUp   FaultKind = "silent-up"
	SilentDown FaultKind = "silent-down"
	// Refuse closes the connections and refuses new ones for a while.
	Refuse FaultKind = "refuse"
	// Delay delays all messages equally. Reorder delays each connection
	// differently, so that messages on different connections overtake each other.
	Delay   FaultKind = "delay"
	Reorder FaultKind = "reorder"
	// Straggler makes the engine 30 times slower. Stall makes its next streams
	// stop sending; CutStream cuts them.
	Straggler FaultKind = "straggler"
	Stall     FaultKind = "stall"
	CutStream FaultKind = "cut-stream"
	// StaleLoad puts external load on the engine that its load report doesn't show.
	StaleLoad FaultKind = "stale-load"
	// Faults of the platform's API: it is unavailable, slow, loses one response
	// after executing the call, or returns an outdated VM list.
	PlatformDown FaultKind = "platform-down"
	PlatformSlow FaultKind = "platform-slow"
	LostResponse FaultKind = "platform-answer-lost"
	ListLags     FaultKind = "list-lags"
	// Planned stops by SIGTERM. DrainVM marks the VM as draining and stops its
	// agent and then its engine.
	StopEntry FaultKind = "stop-entry"
	StopAgent FaultKind = "stop-agent"
	DrainVM   FaultKind = "leave-vm"
)

// RequestFaults lists the faults that are injected at each step of a request.
var RequestFaults = []FaultKind{
	KillEntry, KillAgent, KillEngine, PauseEntry, PauseAgent, PauseEngine,
	Cut, Silent, SilentUp, SilentDown, Refuse, Delay, Reorder,
	Straggler, Stall, CutStream, StaleLoad,
	PlatformDown, PlatformSlow, LostResponse, ListLags,
	StopEntry, StopAgent, DrainVM,
}

// isPlannedStop reports whether the fault is a planned stop, which must not
// interrupt any call.
func (k FaultKind) isPlannedStop() bool { return k == StopEntry || k == StopAgent || k == DrainVM }
