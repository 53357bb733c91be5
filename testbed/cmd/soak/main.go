// Command soak injects overlapping faults, drawn from seeds, into gateways, backend
// servers and a store that run as separate processes, and checks what callers and
// servers observed. It must be run from within the workspace, whose programs it builds.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newCommand().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}
