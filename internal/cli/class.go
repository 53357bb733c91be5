package cli

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/applepier/applepier/internal/program"
)

// pathClasses is where the administration API keeps the classes.
const pathClasses = "/admin/v1/classes"

func classCommand() *cli.Command {
	return &cli.Command{
		Name:     "class",
		Usage:    "list, show, set and retire classes of work",
		Commands: []*cli.Command{classList(), classGet(), classSet(), classRetire()},
	}
}

func classList() *cli.Command {
	return &cli.Command{
		Name:  "list",
		Usage: "list all classes with their targets",
		Description: "Retired classes are listed too.\n\n" +
			"Example:\n   applepier class list --output json",
		Flags:  adminFlags(),
		Action: runClassList,
	}
}

func runClassList(ctx context.Context, command *cli.Command) error {
	if command.Args().Present() {
		return program.Usage(command, "class list takes no arguments")
	}
	ctx, session, err := open(ctx, command)
	if err != nil {
		return err
	}
	defer session.cancel()
	var list classesDocument
	if err := session.client.do(ctx, call{method: http.MethodGet, path: pathClasses, answer: &list}); err != nil {
		return err
	}
	if err := session.printer.print(list, func() []table { return []table{classTable(list.Classes)} }); err != nil {
		return err
	}
	session.noteVersion(list.Version, list.Source)
	return nil
}

func classGet() *cli.Command {
	return &cli.Command{
		Name:        "get",
		Usage:       "show one class",
		ArgsUsage:   "NAME",
		Description: "Example:\n   applepier class get hazard-flag",
		Flags:       adminFlags(),
		Action:      onClass(runClassGet),
	}
}

func runClassGet(ctx context.Context, s *session, command *cli.Command, name string) error {
	answer, err := s.class(ctx, name)
	if err != nil {
		return err
	}
	err = s.printer.print(answer, func() []table { return []table{classTable([]classDocument{answer.Class})} })
	if err != nil {
		return err
	}
	s.noteVersion(answer.Version, answer.Source)
	return nil
}

// class reads one class and the version it is at.
func (s *session) class(ctx context.Context, name string) (classAnswer, error) {
	var answer classAnswer
	err := s.client.do(ctx, call{method: http.MethodGet, path: classPath(name), answer: &answer})
	return answer, err
}

func classPath(name string) string { return pathClasses + "/" + url.PathEscape(name) }

// className is the only argument of a command.
func className(command *cli.Command) (string, error) {
	if command.Args().Len() != 1 {
		return "", program.Usage(command, "give the name of one class")
	}
	return command.Args().First(), nil
}

// noteVersion tells which version of the targets a result shows.
func (s *session) noteVersion(version uint64, source string) {
	if source == sourceMemory {
		s.printer.note("the table service is down: this is what is in force in the asked entry")
	}
	if s.printer.output == OutputTable {
		s.printer.note("version %d", version)
	}
}

func classTable(classes []classDocument) table {
	t := table{head: []string{"NAME", "TIER", "RUNS ON", "FIRST TOKEN", "BETWEEN TOKENS", "COMPLETION", "REPEATABLE", "STATE"}}
	for _, c := range classes {
		t.add(c.Name, c.tier(), c.runsOn(), c.FirstToken, c.BetweenTokens, c.Completion, yesNo(c.Repeatable), c.state())
	}
	return t
}

func (c classDocument) runsOn() string {
	if c.Service != "" {
		return "service " + c.Service
	}
	return "model " + c.Model
}

func (c classDocument) tier() string {
	if c.Tier == nil {
		return ""
	}
	return strconv.Itoa(*c.Tier)
}

func (c classDocument) state() string {
	if c.Retired {
		return "retired"
	}
	return "in use"
}

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}
