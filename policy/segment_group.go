package policy

import "time"

const (
	// earlyTrialDelay, firstTrialDelay and maxTrialDelay are times after the last crash of a
	// quarantined segment until a request with it is let through. The first allows for the restart
	// of servers that ended together; the second doubles with each crash, up to the third.
	earlyTrialDelay = 3 * time.Second
	firstTrialDelay = 10 * time.Minute
	maxTrialDelay   = 24 * time.Hour
	// trialTimeout is the time after which another request is let through if the outcome of the
	// last one isn't known, since it found no server or its caller left.
	trialTimeout = 10 * time.Second
)

// segmentGroup is a set of quarantined segments with the same crashes.
type segmentGroup struct {
	members []SegmentID
	// answered is whether any member has ever been answered.
	answered bool
	// crashes is the number of their crashes, and lastCrash the time of the last one.
	crashes   int
	lastCrash time.Time
}

// key returns a hash on which all gateways agree, whatever the order of the members.
func (g *segmentGroup) key() uint64 {
	var key uint64
	for _, id := range g.members {
		key ^= mix(uint64(id))
	}
	return key
}

// trialDelay returns how long after its last crash a request with all members of the group is let
// through. A group that has been answered before and has few crashes is tried soon: it may have been
// frequent when servers ended for another reason. Otherwise a trial most likely costs a server.
func (g *segmentGroup) trialDelay() time.Duration {
	if g.answered && g.crashes <= segmentQuarantineAfter+1 {
		return earlyTrialDelay
	}
	delay := firstTrialDelay
	for i := segmentQuarantineAfter; i < g.crashes && delay < maxTrialDelay; i++ {
		delay *= 2
	}
	return min(delay, maxTrialDelay)
}
