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
	// readEvery is the pause between two readings of a process's targets.
	readEvery = 200 * time.Millisecond
	// readLimit bounds one reading; a paused process gives none.
	readLimit = time.Second
	// tableName stands for the table service among the processes.
	tableName = "table"
)

// source reads one process's targets.
type source struct {
	name string
	read func(context.Context) (*targets.Set, error)
}

func (r *rig) sources() []source {
	sources := []source{{tableName, r.fleet.Platform.Targets}}
	for _, entry := range r.fleet.Entries {
		sources = append(sources, source{entry.Name, entry.Targets})
	}
	for _, backend := range r.fleet.Backends {
		sources = append(sources, source{backend.Agent.Name, backend.Targets})
	}
	return sources
}

// watchVersions notes the targets in force at every process until stop.
func (r *rig) watchVersions(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	for _, s := range r.sources() {
		wg.Go(func() { r.watchVersion(ctx, s) })
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

func (r *rig) watchVersion(ctx context.Context, s source) {
	absent := time.Time{}
	for ctx.Err() == nil {
		asked := time.Now()
		limit, cancel := context.WithTimeout(ctx, readLimit)
		set, err := s.read(limit)
		cancel()
		switch {
		case err != nil || set == nil || set.Version == 0:
			// A process that has just started has no targets yet and is not
			// ready; one that is paused or gone can't be asked.
			absent = time.Now()
		default:
			r.recorder.Version(history.VersionSeen{
				Process: s.name,
				At:      asked,
				Version: set.Version,
				Held:    heldBy(set),
				Excused: asked.Sub(absent) < changeLimit,
			})
		}
		pause.For(ctx, readEvery)
	}
}

// awaitSpread waits until all processes that can be asked have the newest
// accepted change, or its limit has passed.
func (r *rig) awaitSpread(ctx context.Context) {
	newest := r.newestChange()
	limit, cancel := context.WithDeadline(ctx, newest.Accepted.Add(changeLimit+time.Second))
	defer cancel()
	until(limit, func() bool {
		for _, s := range r.sources() {
			one, cancel := context.WithTimeout(limit, readLimit)
			set, err := s.read(one)
			cancel()
			if err == nil && set.Version < newest.Version {
				return false
			}
		}
		return true
	})
}

func (r *rig) newestChange() history.Change {
	var newest history.Change
	for _, change := range r.recorder.History().Changes {
		if change.Version > newest.Version {
			newest = change
		}
	}
	return newest
}

// spreadOf is the longest time from an acceptance until a process that was
// there all the time was seen with the change, or a later one.
func spreadOf(h history.History) time.Duration {
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
