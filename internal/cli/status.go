package cli

import (
	"context"
	"net/http"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/applepier/applepier/internal/program"
)

// Paths of the administration API that status reads.
const (
	pathStatus  = "/admin/v1/status"
	pathEngines = "/admin/v1/engines"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the processes, the targets' version in force in each, and the backend servers",
		Description: "AGE is how old the entry's knowledge of a process is.\n\n" +
			"Examples:\n   applepier status\n   applepier status --admin http://10.0.0.5:8081 --output json",
		Flags:  adminFlags(),
		Action: runStatus,
	}
}

func runStatus(ctx context.Context, command *cli.Command) error {
	if command.Args().Present() {
		return program.Usage(command, "status takes no arguments")
	}
	ctx, session, err := open(ctx, command)
	if err != nil {
		return err
	}
	defer session.cancel()
	var report statusReport
	if err := session.client.do(ctx, call{method: http.MethodGet, path: pathStatus, answer: &report.Status}); err != nil {
		return err
	}
	if err := session.client.do(ctx, call{method: http.MethodGet, path: pathEngines, answer: &report.Engines}); err != nil {
		return err
	}
	return session.printer.print(report, func() []table {
		return []table{processTable(report.Status), engineTable(report.Engines)}
	})
}

func processTable(status statusDocument) table {
	t := table{head: []string{"PROCESS", "ROLE", "ZONE", "VERSION", "AGE"}}
	for _, p := range status.Processes {
		t.add(p.Process, p.Role, p.Zone, strconv.FormatUint(p.Version, 10), p.Age)
	}
	return t
}

func engineTable(engines enginesDocument) table {
	t := table{head: []string{"BACKEND SERVER", "SERVES", "ZONE", "WAITING", "RUNNING", "LIMIT", "STATE", "AGE"}}
	for _, e := range engines.Engines {
		t.add(e.Process, e.Serves, e.Zone, strconv.Itoa(e.Waiting), strconv.Itoa(e.Running), strconv.Itoa(e.Limit), e.State, e.Age)
	}
	return t
}
