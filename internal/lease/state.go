package lease

import "time"

// Check returns ErrLost unless the lease is held. A holder calls it before each
// action under the lease.
func (l *Lease) Check() error {
	if l.Remaining() <= 0 {
		return ErrLost
	}
	return nil
}

// Remaining returns how long the holder may act without another renewal; zero if
// the lease is not held.
func (l *Lease) Remaining() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fencingToken == 0 {
		return 0
	}
	return max(0, l.timing.Duration-l.timing.SafetyMargin-elapsed(l.renewedAt))
}

// FencingToken returns the lease's fencing token; zero before the lease is acquired and
// after it was released or is known to be lost. Expiry alone doesn't reset it.
func (l *Lease) FencingToken() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fencingToken
}

func (l *Lease) markHeld(fencingToken uint64, sentAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fencingToken = fencingToken
	l.renewedAt = sentAt
	l.everHeld = true
	l.supersededAt = time.Time{}
}

func (l *Lease) markLost() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fencingToken = 0
}

// acquireWait returns how long to wait before the lease may be acquired, provided
// that the row does not change meanwhile. A row written by this process can be
// replaced immediately, with a new fencing token, since the process knows that it
// has stopped acting.
func (l *Lease) acquireWait(current storedRecord) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if current.version != 0 && current.record.Holder != l.holder && l.everHeld && l.supersededAt.IsZero() {
		l.supersededAt = time.Now()
	}
	return max(l.supersededWait(), l.takeoverWait(current))
}

// supersededWait returns how much longer a superseded holder must not acquire the
// lease. The caller must hold l.mu.
func (l *Lease) supersededWait() time.Duration {
	if l.supersededAt.IsZero() {
		return 0
	}
	return max(0, l.timing.SupersededBackoff-time.Since(l.supersededAt))
}

// StepDown marks the lease as lost after a higher fencing token was seen, and keeps
// this process from acquiring it for Timing.SupersededBackoff.
func (l *Lease) StepDown() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fencingToken = 0
	l.supersededAt = time.Now()
}

// takeoverWait returns how much longer the row must remain unchanged before another
// holder's lease may be taken over. The caller must hold l.mu.
func (l *Lease) takeoverWait(current storedRecord) time.Duration {
	if current.version == 0 {
		return l.earlierEraWait(current.era)
	}
	if current.record.Released || current.record.Holder == l.holder {
		return 0
	}
	if l.observedWrite != current.record.WriteID {
		l.observedWrite = current.record.WriteID
		l.observedAt = time.Now()
	}
	return max(0, l.timing.Duration+l.timing.clockDriftMargin()-time.Since(l.observedAt))
}

// earlierEraWait returns how much longer a holder of an earlier era may act, in an era in which
// the lease was never acquired. Such a holder's last renewal is older than the era. If this
// process was the holder and its own lease hasn't expired, there is no other one. The caller
// must hold l.mu.
func (l *Lease) earlierEraWait(era uint64) time.Duration {
	if era == 0 || l.holdsAlone() {
		return 0
	}
	if l.observedEra != era {
		l.observedEra, l.observedEraAt = era, time.Now()
	}
	return max(0, l.timing.Duration+l.timing.clockDriftMargin()-time.Since(l.observedEraAt))
}

// holdsAlone reports whether this process held the lease last, without releasing it, and
// candidates still wait for it to expire. The caller must hold l.mu.
func (l *Lease) holdsAlone() bool {
	return l.everHeld && l.supersededAt.IsZero() && elapsed(l.renewedAt) < l.timing.Duration-l.timing.SafetyMargin
}

// markReleased records that the lease is given up, and may be acquired by others at once.
func (l *Lease) markReleased() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fencingToken = 0
	l.renewedAt = time.Time{}
}

// elapsed returns the time since t by whichever clock, monotonic or wall, advanced further.
func elapsed(t time.Time) time.Duration {
	now := time.Now()
	monotonic := now.Sub(t)
	wall := now.Round(0).Sub(t.Round(0))
	return max(monotonic, wall)
}
