package cli

import (
	"context"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/applepier/applepier/internal/program"
	"github.com/applepier/applepier/internal/timeline"
)

// Flags of the timeline command.
const (
	flagRequest = "request"
	flagSince   = "since"
	flagLimit   = "limit"
)

// timeFormat prints the wall-clock part of a timestamp, in UTC, with
// microseconds.
const timeFormat = "15:04:05.000000"

func newTimelineCommand() *cli.Command {
	return &cli.Command{
		Name:  "timeline",
		Usage: "show the events of all processes in causal order",
		Description: "An event is listed after the event that caused it, even if the VMs' clocks differ.\n" +
			"Times are in UTC. If some processes do not respond, they are listed and the exit code is 7.\n\n" +
			"Examples:\n" +
			"   applepier timeline --since 5m\n" +
			"   applepier timeline --request AZPx8no7fG2OnwobLD1OXw --output json",
		Flags: adminFlags(
			&cli.StringFlag{Name: flagRequest, Usage: "only events of the request `ID`"},
			&cli.DurationFlag{Name: flagSince, Usage: "only events of the last `TIME`", Value: timeline.DefaultSince},
			&cli.IntFlag{Name: flagLimit, Usage: "only the newest `N` events of each process", Value: timeline.DefaultLimit},
		),
		Action: runTimeline,
	}
}

func runTimeline(ctx context.Context, command *cli.Command) error {
	if command.Args().Present() {
		return program.UsageError(command, "timeline takes no arguments")
	}
	ctx, session, err := openSession(ctx, command)
	if err != nil {
		return err
	}
	defer session.cancel()
	filter := timeline.Filter{
		Since:   command.Duration(flagSince),
		Request: command.String(flagRequest),
		Limit:   command.Int(flagLimit),
	}
	var view timeline.View
	err = session.client.do(ctx, apiRequest{method: http.MethodGet, path: timeline.PathView, query: filter.Query(), response: &view})
	if err != nil {
		return err
	}
	if err := session.printer.print(view, func() []table { return []table{eventTable(view.Events)} }); err != nil {
		return err
	}
	if view.Truncated {
		session.printer.notef("older events were omitted; narrow the query with --%s or --%s", flagSince, flagRequest)
	}
	return missingError(view)
}

func eventTable(events []timeline.Event) table {
	t := table{header: []string{"TIME", "PROCESS", "EVENT", "REQUEST", "CLASS", "DETAIL"}}
	for _, event := range events {
		eventTime := time.Unix(0, event.Timestamp.Wall).UTC().Format(timeFormat)
		t.add(eventTime, event.Process, string(event.Kind), event.Request, event.Class, event.Detail)
	}
	return t
}

// missingError returns an error that lists the processes whose events are
// missing, or nil if all processes responded.
func missingError(view timeline.View) error {
	if len(view.Missing) == 0 {
		return nil
	}
	problem := "these processes did not respond, their events are missing:"
	for _, missing := range view.Missing {
		problem += "\n  " + missing.Process + " (" + missing.Addr + "): " + missing.Reason
	}
	return &program.Error{
		Code:    program.ExitPartial,
		Message: problem,
		Hint:    "see docs/OPERATING.md, \"A process does not answer\"",
	}
}
