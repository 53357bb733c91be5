package cli

import (
	"context"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/program"
	"github.com/applepier/applepier/internal/settings"
)

// ServeGateway runs a gateway until ctx is done and then shuts down gracefully.
// It calls reload to read the settings again.
type ServeGateway func(ctx context.Context, s settings.Gateway, reload func() (settings.Gateway, error), log *zap.Logger) error

// GatewayCommand returns the command that runs a gateway. settingsEnv names the
// environment variable with the path of the settings file, which is used if the
// command line does not give the path.
func GatewayCommand(serve ServeGateway, settingsEnv string) *cli.Command {
	return program.Program[settings.Gateway]{
		Name:        "applepier gateway",
		Usage:       "run a gateway, an entry that sends requests directly to the backend servers",
		ExampleFile: "examples/gateway.yaml",
		SettingsEnv: settingsEnv,
		Load:        settings.LoadGateway,
		LoggerConfig: func(s settings.Gateway) program.LoggerConfig {
			return program.LoggerConfig{Process: s.Process, LogLevel: s.Log.Level}
		},
		ServeWithReload: serve,
	}.Command("gateway")
}
