// Command applepier-agent runs the agent, the process that accompanies a backend
// server.
package main

import (
	"context"
	"os"

	"github.com/applepier/applepier/internal/agent"
	"github.com/applepier/applepier/internal/agentcli"
)

func main() {
	os.Exit(int(agentcli.Run(context.Background(), os.Args, os.Stdout, os.Stderr, agent.Serve)))
}
