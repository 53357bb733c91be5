// Command applepier runs the process of an entry VM, the gateway, and the operator's
// command line.
package main

import (
	"context"
	"os"

	"github.com/applepier/applepier/internal/cli"
	"github.com/applepier/applepier/internal/entry"
	"github.com/applepier/applepier/platform"
)

func main() {
	gateway := cli.GatewayCommand(platform.ServeGateway, platform.SettingsEnv)
	os.Exit(int(cli.Run(context.Background(), os.Args, os.Stdout, os.Stderr, entry.Serve, gateway)))
}
