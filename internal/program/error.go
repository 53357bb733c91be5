package program

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

// Error is a command failure reported to the operator: an exit code, a message
// and a hint.
type Error struct {
	// Code is the exit code of the program.
	Code ExitCode
	// Message describes the failure.
	Message string
	// Hint tells the operator how to resolve the failure; it may be empty.
	Hint string
	// Cause is the underlying error; it may be nil.
	Cause error
}

// Error returns the message without the hint.
func (e *Error) Error() string { return e.Message }

// Unwrap returns the underlying error, or nil.
func (e *Error) Unwrap() error { return e.Cause }

// printError prints err and its hint to errOut and returns the exit code. An err
// that is not an *Error exits with ExitFailure; a nil err prints nothing.
func printError(errOut io.Writer, name string, err error) ExitCode {
	if err == nil {
		return ExitOK
	}
	var failure *Error
	if !errors.As(err, &failure) {
		failure = &Error{Code: ExitFailure, Message: err.Error()}
	}
	fmt.Fprintf(errOut, "%s: %s\n", name, failure.Message)
	if failure.Hint != "" {
		fmt.Fprintf(errOut, "what to do: %s\n", failure.Hint)
	}
	return failure.Code
}

// UsageError returns an *Error with ExitUsage for an invalid command line; its
// hint names the help text of the command.
func UsageError(command *cli.Command, problem string) error {
	return &Error{
		Code:    ExitUsage,
		Message: problem,
		Hint:    "see " + command.FullName() + " --help",
	}
}

// onUsageError converts a command-line parsing error to an *Error. Its first
// letter is lowercased because the program name precedes it.
func onUsageError(_ context.Context, command *cli.Command, err error, _ bool) error {
	return UsageError(command, strings.ToLower(err.Error()[:1])+err.Error()[1:])
}

// missingCommand is the action of a command that has only subcommands. It returns
// a usage error for an unknown or missing subcommand.
func missingCommand(_ context.Context, command *cli.Command) error {
	if name := command.Args().First(); name != "" {
		return UsageError(command, fmt.Sprintf("there is no command %q", name))
	}
	return UsageError(command, "a command is missing")
}
