package cli

import (
	"context"
	"net/http"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/applepier/applepier/internal/program"
)

// Paths of the administration API that the status command reads.
const (
	pathStatus         = "/admin/v1/status"
	pathBackendServers = "/admin/v1/engines"
)

func newStatusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the processes, the targets version that each has applied, and the backend servers",
		Description: "AGE is the time since the queried entry last received the status of the process or server.\n\n" +
			"Examples:\n   applepier status\n   applepier status --admin http://10.0.0.5:8081 --output json",
		Flags:  adminFlags(),
		Action: runStatus,
	}
}

func runStatus(ctx context.Context, command *cli.Command) error {
	if command.Args().Present() {
		return program.UsageError(command, "status takes no arguments")
	}
	ctx, session, err := openSession(ctx, command)
	if err != nil {
		return err
	}
	defer session.cancel()
	var report statusReport
	if err := session.client.do(ctx, apiRequest{method: http.MethodGet, path: pathStatus, response: &report.Status}); err != nil {
		return err
	}
	if err := session.client.do(ctx, apiRequest{method: http.MethodGet, path: pathBackendServers, response: &report.BackendServers}); err != nil {
		return err
	}
	err = session.printer.print(report, func() []table {
		return []table{processTable(report.Status), backendServerTable(report.BackendServers)}
	})
	if err != nil {
		return err
	}
	session.noteVersion(report.Status.Version, report.Status.Source)
	return nil
}

func processTable(status statusResponse) table {
	t := table{header: []string{"PROCESS", "ROLE", "ZONE", "VERSION", "STATE", "AGE"}}
	for _, process := range status.Processes {
		t.add(process.Name, process.Role, process.Zone, strconv.FormatUint(process.Version, 10), process.state(), process.StatusAge)
	}
	return t
}

func backendServerTable(response backendServersResponse) table {
	t := table{header: []string{"BACKEND SERVER", "SERVES", "ZONE", "WAITING", "RUNNING", "LIMIT", "STATE", "AGE"}}
	for _, server := range response.BackendServers {
		t.add(server.VM, server.Serves, server.Zone, strconv.Itoa(server.Waiting), strconv.Itoa(server.Running), strconv.Itoa(server.Limit), server.state(), server.StatusAge)
	}
	return t
}

// States of processes and backend servers as printed in tables.
const (
	stateUp           = "up"
	stateDown         = "down"
	stateDraining     = "leaving"
	stateNotHeardFrom = "not heard from"
)

func (p processInfo) state() string {
	switch {
	case !p.HasRecentStatus:
		return stateNotHeardFrom
	case p.Draining:
		return stateDraining
	default:
		return stateUp
	}
}

func (s backendServerInfo) state() string {
	switch {
	case s.StatusAge == "":
		return stateNotHeardFrom
	case s.Down:
		return stateDown
	case s.Draining:
		return stateDraining
	default:
		return stateUp
	}
}
