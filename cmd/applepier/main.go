// Command applepier is the process of an entry VM and the operator's command
// line.
package main

import (
	"context"
	"os"

	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/cli"
	"github.com/applepier/applepier/internal/settings"
)

func main() {
	os.Exit(int(cli.Run(context.Background(), os.Args, os.Stdout, os.Stderr, serve)))
}

// serve stands in until the entry's package lands.
func serve(ctx context.Context, _ settings.Entry, _ *zap.Logger) error {
	<-ctx.Done()
	return nil
}
