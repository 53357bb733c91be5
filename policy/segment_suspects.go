package policy

import "time"

const (
	// segmentGracePeriod is the time after an answer during which crashes don't count against its
	// segments. It is longer than the usual time between two answers with a frequent segment, so
	// that the end of many servers at once accuses none of these, and so short that a segment which
	// has just begun to crash servers is detected before long.
	segmentGracePeriod = 2 * time.Second
	// ProvenAnswerTime is how long a server must have been answering a request for its segments to
	// be cleared before the answer is complete. A segment at fault crashes its server sooner.
	ProvenAnswerTime = 2 * time.Second
	// maxSegmentsPerRequest bounds the segments of a request that are considered, the first ones.
	maxSegmentsPerRequest = 256
)

// ObserveSegmentCrash records that a server instance ended while it had a request with the given
// shared segments, which it had answered for less than ProvenAnswerTime.
func (q *Quarantine) ObserveSegmentCrash(segments []SegmentID, crash Crash) {
	for _, segment := range limitSegments(segments) {
		id := segment.ID()
		if q.suspects[id] == nil && withinGracePeriod(q.completions.lastCompletion(id), segmentGracePeriod, crash) {
			// Most segments are frequent. They don't become suspects only to be cleared.
			continue
		}
		q.observeCrash(id, crash)
	}
}

// ObserveAnswer records that a server has answered a request with the given shared segments,
// completely or for ProvenAnswerTime. began is when it began to answer: a crash that its segments
// would have caused would have happened then.
func (q *Quarantine) ObserveAnswer(began time.Time, segments []SegmentID) {
	for _, segment := range limitSegments(segments) {
		q.observeAnswer(began, segment.ID())
	}
}

// SegmentsQuarantined reports whether a request that arrives with the given shared segments is
// quarantined because of them. Each call extends the time for which suspects are remembered.
//
// Once in a while such a request is let through as a trial, since a segment that is always refused is
// never answered and a wrong decision would last. owns reports whether this gateway, of all that run,
// is the one to make the trial for a key.
func (q *Quarantine) SegmentsQuarantined(now time.Time, segments []SegmentID, owns func(key uint64) bool) bool {
	segments = limitSegments(segments)
	suspected := false
	for _, segment := range segments {
		if s := q.suspects[segment.ID()]; s != nil {
			s.seen, suspected = now, true
		}
	}
	if !suspected {
		return false
	}
	groups := q.decide().refusing(segments)
	switch len(groups) {
	case 0:
		return false
	case 1:
		return !q.startTrial(now, groups[0], owns)
	}
	return true
}

// startTrial reports whether a request that has all members of a group is to run as a trial.
func (q *Quarantine) startTrial(now time.Time, g *segmentGroup, owns func(key uint64) bool) bool {
	key := g.key()
	if now.Sub(g.lastCrash) < g.trialDelay() || now.Sub(q.trials[key]) < trialTimeout || !owns(key) {
		return false
	}
	q.trials[key] = now
	return true
}

// limitSegments returns the segments that are considered.
func limitSegments(segments []SegmentID) []SegmentID {
	return segments[:min(len(segments), maxSegmentsPerRequest)]
}
