// Package boottime reads CLOCK_BOOTTIME, the monotonic clock that also advances while
// the VM is suspended. Use it for ages that may span a suspension: Go's monotonic clock
// stops then, and the wall clock can jump.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// processStart is the reference of the fallback in Now.
var processStart = time.Now()

// Now returns the time since the VM booted. Only differences of its values within one
// boot are meaningful.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// A kernel without this clock does not report suspensions either, so the
		// monotonic clock serves instead. With the added hour, a value is never 0, which
		// callers use for "never", and exceeds the ages that they subtract from it.
		return time.Since(processStart) + time.Hour
	}
	return time.Duration(ts.Nano())
}
