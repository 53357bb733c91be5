// Package earlysignal keeps SIGHUP from terminating a process that has just started and doesn't handle it
// yet. It imports as little as possible, so that it is initialized before most other packages.
package earlysignal

import (
	"os"
	"os/signal"
	"syscall"
)

// hangup receives the signals until a process handles them itself. Nothing reads it: a process that starts
// reads its settings anyway.
var hangup = make(chan os.Signal, 1)

func init() { signal.Notify(hangup, syscall.SIGHUP) }

// Release restores the default action of SIGHUP, for programs that don't handle it and should end with
// their terminal.
func Release() { signal.Stop(hangup) }
