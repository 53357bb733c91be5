package admin

import (
	"context"
	"time"
)

// propagationPollInterval is the interval at which a waiting request checks the
// fleet.
const propagationPollInterval = 100 * time.Millisecond

// awaitPropagation waits until all processes with a recent status have applied
// the version, or until the timeout or ctx ends, and returns the propagation
// state at that time.
func (a *API) awaitPropagation(ctx context.Context, version uint64, timeout time.Duration) *propagation {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(propagationPollInterval)
	defer ticker.Stop()
	for {
		current := propagationOf(a.fleet.Processes(), version)
		if current.Applied || ctx.Err() != nil {
			return &current
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// propagationOf returns which processes have not applied the version.
func propagationOf(processes []Process, version uint64) propagation {
	result := propagation{Behind: []string{}, NotHeardFrom: []string{}}
	for _, p := range processes {
		switch {
		case p.HasStatus && p.TargetsVersion >= version:
			// A process never goes back to an older version, so an old report of
			// this version is still valid.
		case !p.hasRecentStatus():
			result.NotHeardFrom = append(result.NotHeardFrom, p.Name)
		default:
			result.Behind = append(result.Behind, p.Name)
		}
	}
	result.Applied = len(result.Behind) == 0
	return result
}
