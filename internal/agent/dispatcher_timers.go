package agent

import (
	"context"
	"time"
)

// runTimers calls tick whenever a decision of the scheduler is due, and at least
// once per maxWakeInterval, until ctx ends.
func (d *dispatcher) runTimers(ctx context.Context) {
	wakeAt := time.Now().Add(maxWakeInterval)
	timer := time.NewTimer(maxWakeInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			wakeAt = d.tick(time.Now())
			timer.Reset(time.Until(wakeAt))
		case <-d.wake:
			// Only move the timer to an earlier time. Otherwise a steady
			// stream of new tickets could postpone the tick forever.
			if next := d.nextWake(time.Now()); next.Before(wakeAt) {
				wakeAt = next
				timer.Reset(time.Until(wakeAt))
			}
		}
	}
}

// tick expires grants and tickets, prunes finished grants, issues grants and
// returns the time of the next tick.
func (d *dispatcher) tick(now time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, g := range d.grants.issued {
		if now.Sub(g.issuedAt) > grantTTL {
			d.expireGrant(now, g)
		}
	}
	d.grants.prune(now.Add(-grantRetention))
	d.expireTickets(now)
	d.dispatch(now)
	load := d.scheduler.Load()
	d.queueMetrics.Set(load.Waiting, load.Running, load.Limit)
	return d.nextWakeLocked(now)
}

// nextWake returns the time at which tick is due.
func (d *dispatcher) nextWake(now time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.nextWakeLocked(now)
}

// nextWakeLocked returns the time of the scheduler's next decision, but no
// sooner than 1 ms and no later than maxWakeInterval from now. Called with mu
// held.
func (d *dispatcher) nextWakeLocked(now time.Time) time.Time {
	latest := now.Add(maxWakeInterval)
	due, ok := d.scheduler.NextWake(now)
	if !ok || due.After(latest) {
		return latest
	}
	if earliest := now.Add(time.Millisecond); due.Before(earliest) {
		return earliest
	}
	return due
}
