// Package overload detects that a process gets too little processor time for its work. Each step of a
// request then waits for the processor, and every request is late: the process serves more by taking on
// less. Start reading at Monitor.
package overload

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// probeDelay and probeJitter are how long after a probe was started it is due. The jitter spreads
	// probes over the period after which the processor quota of a VM is usually renewed.
	probeDelay  = 5 * time.Millisecond
	probeJitter = 50 * time.Millisecond
	// cycle is the least time between the starts of two probes, and between two pauses.
	cycle = 100 * time.Millisecond
	// maxDelay bounds what a probe counts: a longer delay calls for no stronger response.
	maxDelay = 500 * time.Millisecond
	// recentProbes is the number of probes whose median delay is considered. A few that were late because
	// of a short burst, or because the process was suspended, don't count as overload.
	recentProbes = 5
	// tolerableDelay is the median delay above which the process is overloaded. A process that uses up
	// its quota in each period of 100 ms and leaves no work behind is late by less.
	tolerableDelay = 60 * time.Millisecond
	// pauseStep is by how much the part of each cycle for which work is refused grows with each probe
	// whose delay is tolerableDelay, and in proportion to a longer one, since a process with much work
	// left behind probes rarely. It shrinks by half of the step while the process isn't overloaded, so
	// that it settles below the limit.
	pauseStep = 0.1
	// maxPausedPart leaves a moment for new work in each cycle, by which the process shows when it is
	// idle again.
	maxPausedPart = 0.95
	// staleAfter is the time after which what the last probe showed no longer counts.
	staleAfter = time.Second
)

// Monitor decides for which part of the time a process refuses new work. It measures by how much a timer
// is late, which includes the time for which the process didn't run and the time for which the timer's
// goroutine waited for others. It probes only while it is asked. It is safe for concurrent use.
type Monitor struct {
	// onChange is called when the Monitor begins and ends to refuse work; it may be nil.
	onChange func(refusing bool)
	// mu guards the fields below; no other lock is acquired while it is held, except by onChange.
	mu      sync.Mutex
	probed  time.Time
	probing bool
	delays  [recentProbes]time.Duration
	next    int
	// paused is the part of each cycle for which work is refused, and pausedAt when the last pause was
	// returned.
	paused   float64
	pausedAt time.Time
}

// New returns a Monitor of this process.
func New(onChange func(refusing bool)) *Monitor { return &Monitor{onChange: onChange} }

// Pause returns for how long new work is to be refused from now on; 0 if it isn't, or if the last pause
// was returned within the current cycle.
func (m *Monitor) Pause() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if now.Sub(m.probed) > staleAfter && !m.probing {
		m.setPaused(0)
	}
	if !m.probing && now.Sub(m.probed) >= cycle {
		m.probing, m.probed = true, now
		due := probeDelay + rand.N(probeJitter)
		time.AfterFunc(due, func() { m.record(time.Since(now) - due) })
	}
	if m.paused == 0 || now.Sub(m.pausedAt) < cycle {
		return 0
	}
	m.pausedAt = now
	return time.Duration(m.paused * float64(cycle))
}

// record adds the result of a probe.
func (m *Monitor) record(delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.probing = false
	m.delays[m.next] = min(delay, maxDelay)
	m.next = (m.next + 1) % recentProbes
	sorted := m.delays
	slices.Sort(sorted[:])
	if median := sorted[recentProbes/2]; median > tolerableDelay {
		m.setPaused(min(m.paused+pauseStep*float64(median)/float64(tolerableDelay), maxPausedPart))
	} else {
		m.setPaused(max(m.paused-pauseStep/2, 0))
	}
}

// setPaused sets the part of each cycle for which work is refused. m.mu must be held.
func (m *Monitor) setPaused(part float64) {
	before := m.paused
	m.paused = part
	if m.onChange != nil && (before > 0) != (part > 0) {
		m.onChange(part > 0)
	}
}
