package cli

import (
	"context"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/program"
	"github.com/applepier/applepier/internal/settings"
)

// ServeGateway runs a gateway until ctx is done and then shuts down
// gracefully; reload reads its settings again.
type ServeGateway func(ctx context.Context, s settings.Gateway, reload func() (settings.Gateway, error), log *zap.Logger) error

// GatewayCommand is the command that runs a gateway. The environment variable
// holds the settings file's path where the command line doesn't.
func GatewayCommand(serve ServeGateway, env string) *cli.Command {
	return program.Program[settings.Gateway]{
		Name:        "applepier gateway",
		Usage:       "run an entry that sends straight to the backend servers",
		Example:     "examples/gateway.yaml",
		SettingsEnv: env,
		Load:        settings.LoadGateway,
		Identify: func(s settings.Gateway) program.Identity {
			return program.Identity{Process: s.Process, LogLevel: s.Log.Level}
		},
		ServeReloading: serve,
	}.Command("gateway")
}
