package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	// quotaPeriod is how often a small VM's process gets its part of a core
	// anew, as the kernel's own bandwidth control has it.
	quotaPeriod = 100 * time.Millisecond
	quotaLook   = 4 * time.Millisecond
)

// keepQuota holds a gateway to a part of a core: it stands still for the rest of
// a period whose part it has used up, and what it used beyond counts for the
// next ones. That is what a small VM is, and no fault.
func keepQuota(ctx context.Context, g *gatewayProcess, part float64) {
	share := time.Duration(part * float64(quotaPeriod))
	var allowed time.Duration
	process, stopped := 0, false
	ticker := time.NewTicker(quotaLook)
	defer ticker.Stop()
	defer func() {
		if stopped {
			g.freeze(-1)
		}
	}()
	period := time.Now()
	for ctx.Err() == nil {
		now := <-ticker.C
		pid := g.PID()
		used := usedTime(pid)
		if pid != process {
			process, allowed = pid, used+share
		}
		for now.Sub(period) >= quotaPeriod {
			period = period.Add(quotaPeriod)
			// Unused parts aren't saved.
			allowed = min(allowed, used) + share
		}
		if over := used > allowed; over != stopped {
			stopped = over
			if over {
				g.freeze(1)
			} else {
				g.freeze(-1)
			}
		}
	}
}

// usedTime is the processor time that a process has used; 0 if it has ended.
func usedTime(pid int) (used time.Duration) {
	// A pattern that is spelled here is no bad one.
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	for _, thread := range threads {
		var nanoseconds int64
		if text, err := os.ReadFile(thread); err == nil {
			_, _ = fmt.Sscan(string(text), &nanoseconds)
		}
		used += time.Duration(nanoseconds)
	}
	return used
}
