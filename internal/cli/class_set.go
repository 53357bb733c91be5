package cli

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/applepier/applepier/internal/program"
)

// Flags of class set.
const (
	flagTier          = "tier"
	flagModel         = "model"
	flagService       = "service"
	flagFirstToken    = "first-token"
	flagBetweenTokens = "between-tokens"
	flagCompletion    = "completion"
	flagRepeatable    = "repeatable"
)

func classSet() *cli.Command {
	return &cli.Command{
		Name:      "set",
		Usage:     "create a class or change what is given of it",
		ArgsUsage: "NAME",
		Description: "Flags that are left out keep their value; a target of 0s is removed. A retired class\n" +
			"is taken into use again. If another operator changes the targets meanwhile, nothing is\n" +
			"changed and the exit code is 3.\n\n" +
			"Examples:\n" +
			"   applepier class set hazard-flag --tier 0 --model assistant --first-token 850ms\n" +
			"   applepier class set summary --completion 2m --repeatable=false --wait 14s",
		Flags: adminFlags(append([]cli.Flag{
			&cli.IntFlag{Name: flagTier, Usage: "priority `N`: 0 is the most urgent, 5 the least"},
			&cli.StringFlag{Name: flagModel, Usage: "run on the model `NAME`"},
			&cli.StringFlag{Name: flagService, Usage: "run on the plain service `NAME`"},
			&cli.DurationFlag{Name: flagFirstToken, Usage: "target `TIME` to the first token"},
			&cli.DurationFlag{Name: flagBetweenTokens, Usage: "target `TIME` between tokens"},
			&cli.DurationFlag{Name: flagCompletion, Usage: "target `TIME` to the whole answer"},
			&cli.BoolFlag{Name: flagRepeatable, Usage: "whether a request may run again when its outcome is unknown"},
		}, changeFlags()...)...),
		Action: onClass(runClassSet),
	}
}

func runClassSet(ctx context.Context, s *session, command *cli.Command, name string) error {
	class, version, err := s.present(ctx, name)
	if err != nil {
		return err
	}
	class.apply(command)
	return s.change(ctx, command, call{
		method:  http.MethodPut,
		path:    classPath(name),
		version: &version,
		body:    class,
	})
}

// present reads the class to change; a new one is empty, at the version of the
// list that doesn't hold it.
func (s *session) present(ctx context.Context, name string) (classDocument, uint64, error) {
	answer, err := s.class(ctx, name)
	var failure *program.Error
	if !errors.As(err, &failure) || failure.Code != program.ExitNotFound {
		return answer.Class, answer.Version, err
	}
	var list classesDocument
	err = s.client.do(ctx, call{method: http.MethodGet, path: pathClasses, answer: &list})
	return classDocument{Name: name}, list.Version, err
}

// apply takes over the flags that are given. A class moves between a model and
// a service as a whole.
func (c *classDocument) apply(command *cli.Command) {
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
	applyTarget(command, flagFirstToken, &c.FirstToken)
	applyTarget(command, flagBetweenTokens, &c.BetweenTokens)
	applyTarget(command, flagCompletion, &c.Completion)
}

func applyTarget(command *cli.Command, flag string, target *string) {
	if !command.IsSet(flag) {
		return
	}
	*target = ""
	if span := command.Duration(flag); span != 0 {
		*target = span.String()
	}
}
