package program

// ExitCode is the code with which a program ends.
type ExitCode int

// Exit codes; scripts may rely on them.
const (
	// ExitOK: done.
	ExitOK ExitCode = 0
	// ExitFailure: it failed, for a reason that has no code of its own.
	ExitFailure ExitCode = 1
	// ExitUsage: the command line or a file given to it is wrong.
	ExitUsage ExitCode = 2
	// ExitConflict: another operator changed the same thing first; nothing
	// was changed.
	ExitConflict ExitCode = 3
	// ExitUnreachable: the process or a service it needs doesn't answer.
	ExitUnreachable ExitCode = 4
	// ExitDenied: the key was refused.
	ExitDenied ExitCode = 5
	// ExitNotFound: there is no such thing.
	ExitNotFound ExitCode = 6
	// ExitPartial: done, but not every process has confirmed it or answered.
	ExitPartial ExitCode = 7
	// ExitUnknown: whether the change was made can't be told.
	ExitUnknown ExitCode = 8
)
