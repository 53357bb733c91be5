package fleet

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

// EnforceCPUQuota limits a process to a fraction of a core until ctx is done. pid
// returns the ID of the process, which may change, or 0 while there is none;
// setPaused pauses and resumes it. The process is paused for the rest of a period
// whose quota it has used up, and excess use is charged to the next periods, up to one
// quota: any more is due to late polls of this program. This models a small VM.
func EnforceCPUQuota(ctx context.Context, coreFraction float64, pid func() int, setPaused func(paused bool)) {
	quota := time.Duration(coreFraction * float64(quotaPeriod))
	var allowed time.Duration
	currentPID, paused := 0, false
	ticker := time.NewTicker(quotaPollInterval)
	defer ticker.Stop()
	defer func() {
		if paused {
			setPaused(false)
		}
	}()
	periodStart := time.Now()
	for ctx.Err() == nil {
		now := <-ticker.C
		id := pid()
		used := cpuTime(id)
		if id != currentPID {
			currentPID, allowed = id, used+quota
		}
		for now.Sub(periodStart) >= quotaPeriod {
			periodStart = periodStart.Add(quotaPeriod)
			// Unused quota doesn't accumulate.
			allowed = min(allowed, used) + quota
		}
		allowed = max(allowed, used-quota)
		if overQuota := used > allowed; overQuota != paused {
			paused = overQuota
			setPaused(paused)
		}
	}
}

// cpuTime returns the CPU time that a process has used; 0 if it has ended.
func cpuTime(pid int) (used time.Duration) {
	// The only possible error is a malformed pattern.
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	for _, thread := range threads {
		var nanoseconds int64
		// A thread that has ended meanwhile has no file.
		if text, err := os.ReadFile(thread); err == nil {
			_, _ = fmt.Sscan(string(text), &nanoseconds)
		}
		used += time.Duration(nanoseconds)
	}
	return used
}
