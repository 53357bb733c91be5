// Package overload detects that a process gets too little processor time for its work. Each step of a
// request then waits for the processor, and every request is late: the process serves more by taking on
// less. Start reading at Monitor.
package overload

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// probeDelay and probeJitter are how long after a probe was started it is due. The jitter spreads
	// probes over the period after which the processor quota of a VM is usually renewed.
	probeDelay  = 5 * time.Millisecond
	probeJitter = 50 * time.Millisecond
	// probeInterval is the least time between the starts of two probes.
	probeInterval = 100 * time.Millisecond
	// maxDelay bounds what one probe counts, since the process may also have been suspended.
	maxDelay = 200 * time.Millisecond
	// averagedProbes is the number of probes whose mean delay is considered. One that was late because
	// of a short burst doesn't count as overload.
	averagedProbes = 5
	// tolerableDelay is the mean delay above which the process is overloaded. A process that uses up
	// its quota in each period of 100 ms and leaves no work behind is late by less.
	tolerableDelay = 60 * time.Millisecond
	// refusalStep is by how much the share of refused work grows with each probe while the process is
	// overloaded. It shrinks by half of that otherwise, so that it settles below the limit.
	refusalStep = 0.1
	// maxRefusedShare leaves a few requests, by which the process shows when it is idle again.
	maxRefusedShare = 0.95
)

// Monitor decides which share of new work a process refuses. It measures by how much a timer is late,
// which includes the time for which the process didn't run and the time for which the timer's goroutine
// waited for others. It probes only while it is asked. It is safe for concurrent use.
type Monitor struct {
	// onChange is called when the Monitor begins and ends to refuse work; it may be nil.
	onChange func(refusing bool)
	// mu guards the fields below; no other lock is acquired while it is held, except by onChange.
	mu       sync.Mutex
	probed   time.Time
	probing  bool
	delays   [averagedProbes]time.Duration
	next     int
	refusing float64
}

// New returns a Monitor of this process.
func New(onChange func(refusing bool)) *Monitor { return &Monitor{onChange: onChange} }

// Refuse reports whether a piece of new work is to be refused.
func (m *Monitor) Refuse() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now := time.Now(); !m.probing && now.Sub(m.probed) >= probeInterval {
		m.probing, m.probed = true, now
		due := probeDelay + rand.N(probeJitter)
		time.AfterFunc(due, func() { m.record(time.Since(now) - due) })
	}
	return m.refusing > 0 && rand.Float64() < m.refusing
}

// record adds the result of a probe.
func (m *Monitor) record(delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.probing = false
	m.delays[m.next] = min(delay, maxDelay)
	m.next = (m.next + 1) % averagedProbes
	var sum time.Duration
	for _, d := range m.delays {
		sum += d
	}
	before := m.refusing
	if sum/averagedProbes > tolerableDelay {
		m.refusing = min(m.refusing+refusalStep, maxRefusedShare)
	} else {
		m.refusing = max(m.refusing-refusalStep/2, 0)
	}
	if m.onChange != nil && (before > 0) != (m.refusing > 0) {
		m.onChange(m.refusing > 0)
	}
}
