package matrix

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/applepier/applepier/internal/pause"
	"github.com/applepier/applepier/internal/targets"
	"github.com/applepier/applepier/testbed/history"
)

const (
	// readInterval is the interval between two reads of a process's targets.
	readInterval = 200 * time.Millisecond
	// readTimeout bounds one read; a paused process sends no response.
	readTimeout = time.Second
	// tableName is the process name under which the table service is recorded.
	tableName = "table"
)

// targetsSource reads the targets in force at one process.
type targetsSource struct {
	name string
	read func(context.Context) (*targets.Set, error)
}

// sources returns the sources of the table service and of all entries and agents.
func (h *harness) sources() []targetsSource {
	sources := []targetsSource{{tableName, h.fleet.Platform.Targets}}
	for _, entry := range h.fleet.Entries {
		sources = append(sources, targetsSource{entry.Name, entry.Targets})
	}
	for _, backend := range h.fleet.Backends {
		sources = append(sources, targetsSource{backend.Agent.Name, backend.Targets})
	}
	return sources
}

// watchVersions records the targets in force at every process until stop is called.
func (h *harness) watchVersions(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	for _, s := range h.sources() {
		wg.Go(func() { h.watchVersion(ctx, s) })
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// watchVersion records the targets in force at one process until ctx ends. A read
// within changeLimit after the process could not be read is marked as excused.
func (h *harness) watchVersion(ctx context.Context, s targetsSource) {
	lastUnreadable := time.Time{}
	for ctx.Err() == nil {
		readAt := time.Now()
		readCtx, cancel := context.WithTimeout(ctx, readTimeout)
		set, err := s.read(readCtx)
		cancel()
		switch {
		case err != nil || set == nil || set.Version == 0:
			// A process that has just started has no targets yet and is not
			// ready; one that is paused or gone sends no response.
			lastUnreadable = time.Now()
		default:
			h.recorder.Version(history.VersionReading{
				Process:       s.name,
				At:            readAt,
				Version:       set.Version,
				ClassVersions: changesIn(set),
				Excused:       readAt.Sub(lastUnreadable) < changeLimit,
			})
		}
		pause.Sleep(ctx, readInterval)
	}
}

// awaitPropagation waits until all reachable processes have the newest accepted
// change, or until 1 s after its limit.
func (h *harness) awaitPropagation(ctx context.Context) {
	newest := h.newestChange()
	waitCtx, cancel := context.WithDeadline(ctx, newest.Accepted.Add(changeLimit+time.Second))
	defer cancel()
	pollUntil(waitCtx, func() bool {
		for _, s := range h.sources() {
			readCtx, cancel := context.WithTimeout(waitCtx, readTimeout)
			set, err := s.read(readCtx)
			cancel()
			if err == nil && set.Version < newest.Version {
				return false
			}
		}
		return true
	})
}

func (h *harness) newestChange() history.Change {
	var newest history.Change
	for _, change := range h.recorder.History().Changes {
		if change.Version > newest.Version {
			newest = change
		}
	}
	return newest
}

// longestPropagation returns the longest time from the acceptance of a change
// until a process was seen with that change or a later one. Excused readings don't
// count.
func longestPropagation(h history.History) time.Duration {
	longest := time.Duration(0)
	for _, change := range h.Changes {
		first := map[string]time.Duration{}
		for _, seen := range h.Versions {
			if _, known := first[seen.Process]; known || seen.Excused || seen.Version < change.Version {
				continue
			}
			first[seen.Process] = max(0, seen.At.Sub(change.Accepted))
		}
		for _, took := range first {
			longest = max(longest, took)
		}
	}
	return longest
}
