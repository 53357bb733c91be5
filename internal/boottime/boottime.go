// Package boottime reads the clock that counts on while the VM is suspended.
// Go's monotonic clock stands still then and the time of day jumps, so that
// neither tells how old something is.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// start is what Now falls back to counting from.
var start = time.Now()

// Now is the time since the VM's boot.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// A kernel without this clock has no suspension that it would tell of.
		return time.Since(start) + time.Hour
	}
	return time.Duration(ts.Nano())
}
