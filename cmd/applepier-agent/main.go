// Command applepier-agent is the process beside a backend server.
package main

import (
	"context"
	"os"

	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/agentcli"
	"github.com/applepier/applepier/internal/settings"
)

func main() {
	os.Exit(int(agentcli.Run(context.Background(), os.Args, os.Stdout, os.Stderr, serve)))
}

// serve stands in until the agent's package lands.
func serve(ctx context.Context, _ settings.Agent, _ *zap.Logger) error {
	<-ctx.Done()
	return nil
}
