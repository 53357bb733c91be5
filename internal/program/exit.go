package program

// ExitCode is the exit status of a program.
type ExitCode int

// Exit codes. They are a stable interface for scripts.
const (
	// ExitOK means success.
	ExitOK ExitCode = 0
	// ExitFailure means a failure without a more specific code.
	ExitFailure ExitCode = 1
	// ExitUsage means that the command line, or a file named on it, is invalid.
	ExitUsage ExitCode = 2
	// ExitConflict means that another operator changed the same object first;
	// this command changed nothing.
	ExitConflict ExitCode = 3
	// ExitUnreachable means that the process, or a service it depends on, does
	// not respond.
	ExitUnreachable ExitCode = 4
	// ExitUnauthorized means that the key was rejected.
	ExitUnauthorized ExitCode = 5
	// ExitNotFound means that the requested object does not exist.
	ExitNotFound ExitCode = 6
	// ExitPartial means that the command succeeded, but not every process
	// confirmed it or responded.
	ExitPartial ExitCode = 7
	// ExitOutcomeUnknown means that the change may or may not have been applied.
	ExitOutcomeUnknown ExitCode = 8
)
