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
	return max(0, l.timing.Duration-l.timing.Margin-elapsed(l.since))
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
	l.held = true
	l.deposedAt = time.Time{}
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
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.version != 0 && now.record.Holder != l.holder && l.held && l.deposedAt.IsZero() {
		l.deposedAt = time.Now()
	}
	return max(l.rest(), l.unchanged(now))
}

// rest is for how long a holder that was deposed still leaves the lease to others; l.mu is
// held.
func (l *Lease) rest() time.Duration {
	if l.deposedAt.IsZero() {
		return 0
	}
	return max(0, l.timing.Rest-time.Since(l.deposedAt))
}

// Deposed notes that a higher fencing number than this process's was met: the lease is
// lost, and left to others for a time.
func (l *Lease) Deposed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fence = 0
	l.deposedAt = time.Now()
}

// unchanged is how long the row must still stay unchanged; l.mu is held.
func (l *Lease) unchanged(now stored) time.Duration {
	if now.version == 0 || now.record.Released || now.record.Holder == l.holder {
		return 0
	}
	if l.seen != now.record.Write {
		l.seen = now.record.Write
		l.seenAt = time.Now()
	}
	return max(0, l.timing.Duration+l.timing.challengeMargin()-time.Since(l.seenAt))
}

// elapsed is the time since t by the clock that has advanced more.
func elapsed(t time.Time) time.Duration {
	now := time.Now()
	monotonic := now.Sub(t)
	wall := now.Round(0).Sub(t.Round(0))
	return max(monotonic, wall)
}
