package wire

import (
	"sync"
	"time"
)

// timeoutTicks is the number of ticks of HeartbeatInterval that make up
// HeartbeatTimeout.
const timeoutTicks = int(HeartbeatTimeout / HeartbeatInterval)

// Watchdog ends a wait for a peer that has sent nothing for HeartbeatTimeout. It runs
// only between Start and Stop.
//
// The timeout is counted in ticks, and each tick is scheduled when the previous one has
// fired. A process that was suspended finds both its timer expired and received data
// ready when it resumes; however long the suspension lasted, it counts as one tick, so
// the data is read before the watchdog expires.
type Watchdog struct {
	onTimeout func()

	mu      sync.Mutex
	timer   *time.Timer
	waiting bool
	// tickStart is when the current tick began, and ticksLeft the number of ticks until
	// expiry, the current one included.
	tickStart time.Time
	ticksLeft int
	expired   bool
}

// NewWatchdog returns a stopped watchdog that calls onTimeout once on expiry. onTimeout
// must make the pending wait return.
func NewWatchdog(onTimeout func()) *Watchdog {
	w := &Watchdog{onTimeout: onTimeout}
	w.timer = time.AfterFunc(HeartbeatInterval, w.endTick)
	w.timer.Stop()
	return w
}

// Start begins a wait. It does nothing after expiry.
func (w *Watchdog) Start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.expired {
		return
	}
	w.waiting = true
	w.ticksLeft = timeoutTicks
	w.startTick()
}

// Stop ends a wait. It returns true if the watchdog has not expired; it then can't
// expire before the next Start.
func (w *Watchdog) Stop() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting = false
	// A tick that has already fired finds waiting unset.
	w.timer.Stop()
	return !w.expired
}

// Expired reports whether the watchdog has expired.
func (w *Watchdog) Expired() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.expired
}

// startTick schedules the end of a tick. The caller holds mu.
func (w *Watchdog) startTick() {
	w.tickStart = time.Now()
	w.timer.Reset(HeartbeatInterval)
}

// endTick runs when a tick fires.
func (w *Watchdog) endTick() {
	if w.countTick() {
		w.onTimeout()
	}
}

// countTick counts a tick and reports whether the watchdog has expired with it.
func (w *Watchdog) countTick() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.waiting || time.Since(w.tickStart) < HeartbeatInterval {
		// The tick belongs to an earlier wait.
		return false
	}
	w.ticksLeft--
	if w.ticksLeft > 0 {
		w.startTick()
		return false
	}
	w.waiting = false
	w.expired = true
	return true
}
