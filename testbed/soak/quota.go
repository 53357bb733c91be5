package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	// quotaPeriod is the period after which a process's CPU quota is renewed,
	// as in the kernel's CFS bandwidth control.
	quotaPeriod       = 100 * time.Millisecond
	quotaPollInterval = 4 * time.Millisecond
)

// enforceCPUQuota limits a gateway to a fraction of a core until ctx is done. The
// process is paused for the rest of a period whose quota it has used up, and
// excess use is charged to the next periods. This models a small VM and isn't
// recorded as a fault.
func enforceCPUQuota(ctx context.Context, g *gatewayProcess, coreFraction float64) {
	quota := time.Duration(coreFraction * float64(quotaPeriod))
	var allowed time.Duration
	currentPID, paused := 0, false
	ticker := time.NewTicker(quotaPollInterval)
	defer ticker.Stop()
	defer func() {
		if paused {
			g.addPause(-1)
		}
	}()
	periodStart := time.Now()
	for ctx.Err() == nil {
		now := <-ticker.C
		pid := g.PID()
		used := cpuTime(pid)
		if pid != currentPID {
			currentPID, allowed = pid, used+quota
		}
		for now.Sub(periodStart) >= quotaPeriod {
			periodStart = periodStart.Add(quotaPeriod)
			// Unused quota doesn't accumulate.
			allowed = min(allowed, used) + quota
		}
		if overQuota := used > allowed; overQuota != paused {
			paused = overQuota
			if overQuota {
				g.addPause(1)
			} else {
				g.addPause(-1)
			}
		}
	}
}

// cpuTime returns the CPU time that a process has used; 0 if it has ended.
func cpuTime(pid int) (used time.Duration) {
	// The only possible error is a malformed pattern.
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
