package cli

import (
	"context"
	"net/url"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/applepier/applepier/internal/program"
)

// Flags of all commands that change targets.
const (
	flagIfVersion = "if-version"
	flagWait      = "wait"
)

// waitMargin is added to --wait to get the minimum request timeout.
const waitMargin = 5 * time.Second

func changeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.Uint64Flag{Name: flagIfVersion, Usage: "change nothing unless the targets are at version `N`"},
		&cli.DurationFlag{Name: flagWait, Usage: "wait up to `TIME` until all processes have applied the change"},
	}
}

// applyChange sends the change request and prints the result. It returns an
// error with program.ExitPartial if the command waited and some process has not
// confirmed the change.
func (s *session) applyChange(ctx context.Context, command *cli.Command, request apiRequest) error {
	if command.IsSet(flagIfVersion) {
		version := command.Uint64(flagIfVersion)
		request.version = &version
	}
	if wait := command.Duration(flagWait); wait > 0 {
		request.query = url.Values{flagWait: {wait.String()}}
	}
	var response changeResponse
	request.response = &response
	if err := s.client.do(ctx, request); err != nil {
		return err
	}
	err := s.printer.print(response, func() []table { return []table{classTable([]classInfo{response.Class})} })
	if err != nil {
		return err
	}
	return s.reportChange(response)
}

// reportChange prints the propagation state to standard error. It returns an
// error with program.ExitPartial if some process has not confirmed the change.
func (s *session) reportChange(response changeResponse) error {
	s.printer.notef("accepted as version %d", response.Version)
	if response.Propagation == nil {
		return nil
	}
	propagation := *response.Propagation
	if len(propagation.Behind)+len(propagation.NotHeardFrom) == 0 {
		s.printer.notef("applied by all processes")
		return nil
	}
	return &program.Error{
		Code:    program.ExitPartial,
		Message: "the change was accepted, but some processes have not confirmed it" + propagation.unconfirmedProcesses(),
		Hint:    "the change is durable, don't repeat it; applepier status shows the version that each process has applied",
	}
}

// unconfirmedProcesses describes the processes that have not confirmed the
// version. The result is empty if all have.
func (p propagation) unconfirmedProcesses() string {
	text := ""
	if len(p.Behind) > 0 {
		text += "\n  older version: " + strings.Join(p.Behind, ", ")
	}
	if len(p.NotHeardFrom) > 0 {
		text += "\n  not heard from: " + strings.Join(p.NotHeardFrom, ", ")
	}
	return text
}
