// Package boottime reads CLOCK_BOOTTIME, the monotonic clock that also advances while
// the VM is suspended. It measures ages across a suspension, which Go's monotonic
// clock does not, as it stops, and the wall clock does not, as it jumps.
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
		// monotonic clock serves instead.
		return time.Since(processStart) + time.Hour
	}
	return time.Duration(ts.Nano())
}
