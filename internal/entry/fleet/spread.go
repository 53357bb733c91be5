package fleet

import (
	"context"
	"time"
)

const (
	// spreadWait bounds the wait for a first agent. One that can be reached
	// answers in two round trips; a change is accepted without, too.
	spreadWait = time.Second
	// spreadPoll is how often the links are looked at meanwhile.
	spreadPoll = 5 * time.Millisecond
)

// AwaitFirst waits until an agent has said that it has the version of the
// targets in force, or spreadWait has passed, and reports which it was.
func (f *Fleet) AwaitFirst(ctx context.Context, version uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, spreadWait)
	defer cancel()
	timer := time.NewTicker(spreadPoll)
	defer timer.Stop()
	for {
		for _, l := range f.snapshot() {
			if l.has(version) {
				return true
			}
		}
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
		}
	}
}

func (l *link) has(version uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.targets >= version
}
