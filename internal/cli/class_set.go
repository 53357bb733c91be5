package cli

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/applepier/applepier/internal/program"
)

// Flags of the class set command.
const (
	flagTier          = "tier"
	flagModel         = "model"
	flagService       = "service"
	flagFirstToken    = "first-token"
	flagBetweenTokens = "between-tokens"
	flagCompletion    = "completion"
	flagRepeatable    = "repeatable"
)

func newClassSetCommand() *cli.Command {
	return &cli.Command{
		Name:      "set",
		Usage:     "create a class or change some of its settings",
		ArgsUsage: "NAME",
		Description: "A setting keeps its value if its flag is omitted; a latency target of 0s is removed. A\n" +
			"retired class is reactivated. If another operator changes the targets meanwhile, nothing\n" +
			"is changed and the exit code is 3.\n\n" +
			"Examples:\n" +
			"   applepier class set hazard-flag --tier 0 --model assistant --first-token 850ms\n" +
			"   applepier class set summary --completion 2m --repeatable=false --wait 14s",
		Flags: adminFlags(append([]cli.Flag{
			&cli.IntFlag{Name: flagTier, Usage: "tier `N`: 0 is the most urgent, 5 the least"},
			&cli.StringFlag{Name: flagModel, Usage: "run on the model `NAME`"},
			&cli.StringFlag{Name: flagService, Usage: "run on the plain service `NAME`"},
			&cli.DurationFlag{Name: flagFirstToken, Usage: "target `TIME` to the first token"},
			&cli.DurationFlag{Name: flagBetweenTokens, Usage: "target `TIME` between tokens"},
			&cli.DurationFlag{Name: flagCompletion, Usage: "target `TIME` to the complete response"},
			&cli.BoolFlag{Name: flagRepeatable, Usage: "whether a request may run again when its outcome is unknown"},
		}, changeFlags()...)...),
		Action: withClass(runClassSet),
	}
}

func runClassSet(ctx context.Context, s *session, command *cli.Command, name string) error {
	class, version, err := s.currentClass(ctx, name)
	if err != nil {
		return err
	}
	class.applyFlags(command)
	return s.applyChange(ctx, command, apiRequest{
		method:  http.MethodPut,
		path:    classPath(name),
		version: &version,
		body:    class,
	})
}

// currentClass returns the class to change and its targets version. If the class
// does not exist, it returns a class that has only a name, with the version of
// the class list.
func (s *session) currentClass(ctx context.Context, name string) (classInfo, uint64, error) {
	response, err := s.getClass(ctx, name)
	var programErr *program.Error
	if !errors.As(err, &programErr) || programErr.Code != program.ExitNotFound {
		return response.Class, response.Version, err
	}
	var list classListResponse
	err = s.client.do(ctx, apiRequest{method: http.MethodGet, path: pathClasses, response: &list})
	return classInfo{Name: name}, list.Version, err
}

// applyFlags sets the fields whose flags are given and reactivates the class.
// Setting a model clears the service, and setting a service clears the model.
func (c *classInfo) applyFlags(command *cli.Command) {
	c.Retired = false
	if command.IsSet(flagTier) {
		tier := command.Int(flagTier)
		c.Tier = &tier
	}
	if command.IsSet(flagModel) {
		c.Model, c.Service = command.String(flagModel), ""
	}
	if command.IsSet(flagService) {
		c.Service, c.Model = command.String(flagService), ""
	}
	if command.IsSet(flagRepeatable) {
		c.Repeatable = command.Bool(flagRepeatable)
	}
	applyTargetFlag(command, flagFirstToken, &c.FirstToken)
	applyTargetFlag(command, flagBetweenTokens, &c.BetweenTokens)
	applyTargetFlag(command, flagCompletion, &c.Completion)
}

// applyTargetFlag sets a latency target from a duration flag if the flag is
// given. A duration of 0 removes the target.
func applyTargetFlag(command *cli.Command, flag string, target *string) {
	if !command.IsSet(flag) {
		return
	}
	*target = ""
	if duration := command.Duration(flag); duration != 0 {
		*target = duration.String()
	}
}
