package fleet

import (
	"context"
	"time"
)

const (
	// awaitTargetsTimeout bounds the wait for the first agent. A reachable
	// agent answers within two round trips. A change is accepted even if no
	// agent has answered by then.
	awaitTargetsTimeout = time.Second
	// awaitTargetsPollInterval is how often the links are checked during the
	// wait.
	awaitTargetsPollInterval = 5 * time.Millisecond
)

// AwaitTargets waits until at least one agent has reported this version of the
// targets, or a newer one. It returns false if awaitTargetsTimeout passes or
// ctx ends first.
func (f *Fleet) AwaitTargets(ctx context.Context, version uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, awaitTargetsTimeout)
	defer cancel()
	ticker := time.NewTicker(awaitTargetsPollInterval)
	defer ticker.Stop()
	for {
		for _, l := range f.snapshot() {
			if l.hasTargets(version) {
				return true
			}
		}
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
}

// hasTargets reports whether the agent has at least this targets version.
func (l *link) hasTargets(version uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.targetsVersion >= version
}
