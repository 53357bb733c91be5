package program

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

// Error is a failure of a command, as the operator sees it.
type Error struct {
	// Code is the program's exit code.
	Code ExitCode
	// Problem says what went wrong.
	Problem string
	// Advice says what to do about it.
	Advice string
	// Cause is the error from below; it may be nil.
	Cause error
}

// Error returns the problem without the advice.
func (e *Error) Error() string { return e.Problem }

// Unwrap returns the error from below.
func (e *Error) Unwrap() error { return e.Cause }

// report prints an error with its advice and returns its exit code.
func report(errOut io.Writer, name string, err error) ExitCode {
	if err == nil {
		return ExitOK
	}
	var failure *Error
	if !errors.As(err, &failure) {
		failure = &Error{Code: ExitFailure, Problem: err.Error()}
	}
	fmt.Fprintf(errOut, "%s: %s\n", name, failure.Problem)
	if failure.Advice != "" {
		fmt.Fprintf(errOut, "what to do: %s\n", failure.Advice)
	}
	return failure.Code
}

// Usage returns the error of a wrong command line.
func Usage(command *cli.Command, problem string) error {
	return &Error{
		Code:    ExitUsage,
		Problem: problem,
		Advice:  "see " + command.FullName() + " --help",
	}
}

func usageError(_ context.Context, command *cli.Command, err error, _ bool) error {
	return Usage(command, strings.ToLower(err.Error()[:1])+err.Error()[1:])
}

// missingCommand answers a command that only holds others.
func missingCommand(_ context.Context, command *cli.Command) error {
	if name := command.Args().First(); name != "" {
		return Usage(command, fmt.Sprintf("there is no command %q", name))
	}
	return Usage(command, "a command is missing")
}
