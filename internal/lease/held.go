package lease

import "time"

// Check returns ErrLost unless the lease is held. A holder checks before each
// act.
func (l *Lease) Check() error {
	if l.Remaining() <= 0 {
		return ErrLost
	}
	return nil
}

// Remaining is how long the holder may act without another renewal; zero when
// the lease is not held.
func (l *Lease) Remaining() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fence == 0 {
		return 0
	}
	return max(0, Duration-Margin-elapsed(l.since))
}

// Fence is the fencing number of the lease last held; zero when it was lost or
// released.
func (l *Lease) Fence() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence
}

func (l *Lease) hold(fence uint64, since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fence = fence
	l.since = since
}

func (l *Lease) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fence = 0
}

// wait is how long the row must stay unchanged until it may be taken. A row
// that this process wrote itself may be taken at once, with a new number: its
// owner knows that it stopped.
func (l *Lease) wait(now stored) time.Duration {
	if now.version == 0 || now.record.Released || now.record.Holder == l.holder {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen != now.record.Write {
		l.seen = now.record.Write
		l.seenAt = time.Now()
	}
	return max(0, Duration+challengeMargin-time.Since(l.seenAt))
}

// elapsed is the time since t by the clock that has advanced more.
func elapsed(t time.Time) time.Duration {
	now := time.Now()
	monotonic := now.Sub(t)
	wall := now.Round(0).Sub(t.Round(0))
	return max(monotonic, wall)
}
