package admin

import (
	"context"
	"time"
)

// awaitInterval is how often the fleet is looked at while a request waits.
const awaitInterval = 100 * time.Millisecond

// await waits until the version is in force in all processes heard from, or
// the time is up, and tells how far it has come.
func (a *API) await(ctx context.Context, version uint64, limit time.Duration) *spread {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ticker := time.NewTicker(awaitInterval)
	defer ticker.Stop()
	for {
		now := spreadOf(a.fleet.Processes(), version)
		if now.InForce || ctx.Err() != nil {
			return &now
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// spreadOf sorts the processes by whether they have the version in force.
func spreadOf(processes []Process, version uint64) spread {
	s := spread{Behind: []string{}, NotHeardFrom: []string{}}
	for _, p := range processes {
		switch {
		case p.Heard && p.Version >= version:
			// A process never goes back, so what it once said still holds.
		case !p.heard():
			s.NotHeardFrom = append(s.NotHeardFrom, p.Name)
		default:
			s.Behind = append(s.Behind, p.Name)
		}
	}
	s.InForce = len(s.Behind) == 0
	return s
}
