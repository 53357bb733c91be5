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
	err = session.printer.print(report, func() []table {
		return []table{processTable(report.Status), engineTable(report.Engines)}
	})
	if err != nil {
		return err
	}
	session.noteVersion(report.Status.Version, report.Status.Source)
	return nil
}

func processTable(status statusDocument) table {
	t := table{head: []string{"PROCESS", "ROLE", "ZONE", "VERSION", "STATE", "AGE"}}
	for _, p := range status.Processes {
		t.add(p.Name, p.Role, p.Zone, strconv.FormatUint(p.Version, 10), p.state(), p.Age)
	}
	return t
}

func engineTable(engines enginesDocument) table {
	t := table{head: []string{"BACKEND SERVER", "SERVES", "ZONE", "WAITING", "RUNNING", "LIMIT", "STATE", "AGE"}}
	for _, e := range engines.Engines {
		t.add(e.VM, e.Serves, e.Zone, strconv.Itoa(e.Waiting), strconv.Itoa(e.Running), strconv.Itoa(e.Limit), e.state(), e.Age)
	}
	return t
}

// States of processes and backend servers in tables.
const (
	stateUp      = "up"
	stateDown    = "down"
	stateLeaving = "leaving"
	stateSilent  = "not heard from"
)

func (p processDocument) state() string {
	switch {
	case !p.Heard:
		return stateSilent
	case p.Leaving:
		return stateLeaving
	default:
		return stateUp
	}
}

func (e engineDocument) state() string {
	switch {
	case e.Age == "":
		return stateSilent
	case e.Down:
		return stateDown
	case e.Leaving:
		return stateLeaving
	default:
		return stateUp
	}
}
