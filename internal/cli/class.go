package cli

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/applepier/applepier/internal/program"
)

// pathClasses is the path of the classes in the administration API.
const pathClasses = "/admin/v1/classes"

func newClassCommand() *cli.Command {
	return &cli.Command{
		Name:     "class",
		Usage:    "list, show, set and retire request classes",
		Commands: []*cli.Command{newClassListCommand(), newClassGetCommand(), newClassSetCommand(), newClassRetireCommand()},
	}
}

func newClassListCommand() *cli.Command {
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
		return program.UsageError(command, "class list takes no arguments")
	}
	ctx, session, err := openSession(ctx, command)
	if err != nil {
		return err
	}
	defer session.cancel()
	var list classListResponse
	if err := session.client.do(ctx, apiRequest{method: http.MethodGet, path: pathClasses, response: &list}); err != nil {
		return err
	}
	if err := session.printer.print(list, func() []table { return []table{classTable(list.Classes)} }); err != nil {
		return err
	}
	session.noteVersion(list.Version, list.Source)
	return nil
}

func newClassGetCommand() *cli.Command {
	return &cli.Command{
		Name:        "get",
		Usage:       "show one class",
		ArgsUsage:   "NAME",
		Description: "Example:\n   applepier class get hazard-flag",
		Flags:       adminFlags(),
		Action:      withClass(runClassGet),
	}
}

func runClassGet(ctx context.Context, s *session, command *cli.Command, name string) error {
	response, err := s.getClass(ctx, name)
	if err != nil {
		return err
	}
	err = s.printer.print(response, func() []table { return []table{classTable([]classInfo{response.Class})} })
	if err != nil {
		return err
	}
	s.noteVersion(response.Version, response.Source)
	return nil
}

// getClass returns the named class and the targets version it was read at.
func (s *session) getClass(ctx context.Context, name string) (classResponse, error) {
	var response classResponse
	err := s.client.do(ctx, apiRequest{method: http.MethodGet, path: classPath(name), response: &response})
	return response, err
}

func classPath(name string) string { return pathClasses + "/" + url.PathEscape(name) }

// className returns the class name, which must be the only argument. Otherwise
// it returns a usage error.
func className(command *cli.Command) (string, error) {
	if command.Args().Len() != 1 {
		return "", program.UsageError(command, "give the name of one class")
	}
	return command.Args().First(), nil
}

// noteVersion prints the targets version of a result to standard error, and
// why the targets aren't those of the table service.
func (s *session) noteVersion(version uint64, source string) {
	switch source {
	case sourceMemory:
		s.printer.notef("the table service is down: these are the targets applied in the queried entry")
	case sourceMemoryUndecoded:
		s.printer.notef("the queried entry can't decode the stored targets, of a newer version or damaged: these are the targets applied in it")
	}
	if s.printer.format == OutputTable {
		s.printer.notef("version %d", version)
	}
}

func classTable(classes []classInfo) table {
	t := table{header: []string{"NAME", "TIER", "RUNS ON", "FIRST TOKEN", "BETWEEN TOKENS", "COMPLETION", "REPEATABLE", "STATE"}}
	for _, c := range classes {
		t.add(c.Name, c.tier(), c.modelOrService(), c.FirstToken, c.BetweenTokens, c.Completion, yesNo(c.Repeatable), c.state())
	}
	return t
}

func (c classInfo) modelOrService() string {
	if c.Service != "" {
		return "service " + c.Service
	}
	return "model " + c.Model
}

func (c classInfo) tier() string {
	if c.Tier == nil {
		return ""
	}
	return strconv.Itoa(*c.Tier)
}

func (c classInfo) state() string {
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
