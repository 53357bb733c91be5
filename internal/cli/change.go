package cli

import (
	"context"
	"net/url"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/applepier/applepier/internal/program"
)

// Flags of all commands that change something.
const (
	flagIfVersion = "if-version"
	flagWait      = "wait"
)

// waitMargin is how much longer than --wait an answer may take.
const waitMargin = 5 * time.Second

func changeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.Uint64Flag{Name: flagIfVersion, Usage: "change nothing unless the targets are at version `N`"},
		&cli.DurationFlag{Name: flagWait, Usage: "wait up to `TIME` until the change is in force in all processes"},
	}
}

// change makes a change and prints what came of it.
func (s *session) change(ctx context.Context, command *cli.Command, change call) error {
	if command.IsSet(flagIfVersion) {
		version := command.Uint64(flagIfVersion)
		change.version = &version
	}
	if wait := command.Duration(flagWait); wait > 0 {
		change.query = url.Values{flagWait: {wait.String()}}
	}
	var answer changeAnswer
	change.answer = &answer
	if err := s.client.do(ctx, change); err != nil {
		return err
	}
	err := s.printer.print(answer, func() []table { return []table{classTable([]classDocument{answer.Class})} })
	if err != nil {
		return err
	}
	return s.reportChange(answer)
}

// reportChange tells on standard error how far the change has come.
func (s *session) reportChange(answer changeAnswer) error {
	s.printer.note("accepted as version %d", answer.Version)
	if answer.Spread == nil {
		return nil
	}
	spread := *answer.Spread
	if len(spread.Behind)+len(spread.NotHeardFrom) == 0 {
		s.printer.note("in force in all processes")
		return nil
	}
	return &program.Error{
		Code:    program.ExitPartial,
		Problem: "accepted, but not known to be in force everywhere" + spread.missing(),
		Advice:  "the change is durable, don't repeat it; applepier status shows how far it has come",
	}
}

// missing lists the processes that haven't confirmed a version.
func (s spreadDocument) missing() string {
	text := ""
	if len(s.Behind) > 0 {
		text += "\n  older version: " + strings.Join(s.Behind, ", ")
	}
	if len(s.NotHeardFrom) > 0 {
		text += "\n  not heard from: " + strings.Join(s.NotHeardFrom, ", ")
	}
	return text
}
