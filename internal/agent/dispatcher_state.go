package agent

import (
	"time"

	"github.com/applepier/applepier/internal/timeline"
	"github.com/applepier/applepier/internal/wire"
)

// unavailableRetryAfter is the delay after which a caller may retry when no
// backend server is available. Entries try other agents first.
const unavailableRetryAfter = 2 * time.Second

// unavailableLocked reports whether new tickets are refused, and why. Called
// with mu held.
func (d *dispatcher) unavailableLocked() (wire.Reason, bool) {
	if d.draining {
		return wire.ReasonDraining, true
	}
	if !d.backendUp {
		return wire.ReasonBackendServerDown, true
	}
	if d.switching {
		return wire.ReasonSwitching, true
	}
	return "", false
}

// drain refuses new and waiting tickets. Issued grants stay usable and runs
// complete.
func (d *dispatcher) drain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.draining {
		d.events.Record(timeline.KindLeave, "", "", "takes no new work")
	}
	d.draining = true
	d.refuseWaiting(wire.ReasonDraining)
	d.broadcastLocked(wire.Message{Status: d.statusLocked(0)})
	d.signalIfDrained()
}

// setBackendUp records whether the backend server is reachable. When it goes
// down, all waiting tickets are refused.
func (d *dispatcher) setBackendUp(up bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if up == d.backendUp {
		return
	}
	d.backendUp = up
	if !up {
		d.refuseWaiting(wire.ReasonBackendServerDown)
	}
	d.broadcastLocked(wire.Message{Status: d.statusLocked(0)})
}

// setSoftwareVersion records the version of the engine's software.
func (d *dispatcher) setSoftwareVersion(version string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if version != d.softwareVersion {
		d.softwareVersion = version
		d.broadcastLocked(wire.Message{Status: d.statusLocked(0)})
	}
}

// signalIfDrained closes drained when the agent is draining and no grant is
// issued or running. Called with mu held.
func (d *dispatcher) signalIfDrained() {
	if !d.draining || len(d.grants.running) > 0 || len(d.grants.issued) > 0 {
		return
	}
	d.drainOnce.Do(func() { close(d.drained) })
}

// unavailable reports whether new tickets are refused, and why.
func (d *dispatcher) unavailable() (wire.Reason, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.unavailableLocked()
}

// status returns the status that answers the Ping with number seq.
func (d *dispatcher) status(seq uint64) *wire.Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.statusLocked(seq)
}

// statusLocked returns the status with the number of the Ping that it answers, or
// zero if it answers none. Called with mu held.
func (d *dispatcher) statusLocked(seq uint64) *wire.Status {
	load := d.scheduler.Load()
	return &wire.Status{
		Seq:               seq,
		Waiting:           load.Waiting,
		Running:           load.Running,
		Limit:             load.Limit,
		Draining:          d.draining,
		BackendServerDown: !d.backendUp || d.switching,
		SoftwareVersion:   d.softwareVersion,
	}
}
