package matrix

// Kind is a kind of fault.
type Kind string

// Kinds of faults. Entry, agent and engine are those that the subject is at.
const (
	KillEntry  Kind = "kill-entry"
	KillAgent  Kind = "kill-agent"
	KillEngine Kind = "kill-engine"
	// Pause sends SIGSTOP and later SIGCONT.
	PauseEntry  Kind = "pause-entry"
	PauseAgent  Kind = "pause-agent"
	PauseEngine Kind = "pause-engine"
	// Cut closes the connections between entries and the agent.
	Cut Kind = "cut"
	// Silent makes those connections silent for good; new ones work. Up and
	// Down do so in one direction.
	Silent     Kind = "silent"
	SilentUp   Kind = "silent-up"
	SilentDown Kind = "silent-down"
	// Refuse closes the connections and refuses new ones for a while.
	Refuse Kind = "refuse"
	// Delay delays everything; Reorder delays each connection by another
	// time, so that messages of several overtake each other.
	Delay   Kind = "delay"
	Reorder Kind = "reorder"
	// Straggler makes the engine thirty times slower; Stall makes its next
	// streams fall silent; CutStream cuts them.
	Straggler Kind = "straggler"
	Stall     Kind = "stall"
	CutStream Kind = "cut-stream"
	// StaleLoad gives the engine others' load that its report doesn't show.
	StaleLoad Kind = "stale-load"
	// Faults of the platform.
	PlatformDown Kind = "platform-down"
	PlatformSlow Kind = "platform-slow"
	LostAnswer   Kind = "platform-answer-lost"
	ListLags     Kind = "list-lags"
	// Planned stops by SIGTERM. LeaveVM marks the VM as leaving, stops its
	// agent and then its engine.
	StopEntry Kind = "stop-entry"
	StopAgent Kind = "stop-agent"
	LeaveVM   Kind = "leave-vm"
)

// RequestFaults lists the faults that hit each step of a request.
var RequestFaults = []Kind{
	KillEntry, KillAgent, KillEngine, PauseEntry, PauseAgent, PauseEngine,
	Cut, Silent, SilentUp, SilentDown, Refuse, Delay, Reorder,
	Straggler, Stall, CutStream, StaleLoad,
	PlatformDown, PlatformSlow, LostAnswer, ListLags,
	StopEntry, StopAgent, LeaveVM,
}

// planned reports whether the fault is a planned stop, which must cut off
// nothing.
func (k Kind) planned() bool { return k == StopEntry || k == StopAgent || k == LeaveVM }
