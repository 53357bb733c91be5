package policy

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// quarantineAfter is how many server instances must end while running a request before it
	// is quarantined.
	quarantineAfter = 3
	// segmentQuarantineAfter is the same for a prompt segment. It is larger, because a segment is
	// shared with requests that must not be refused, and another crash distinguishes it from most
	// segments beside it.
	segmentQuarantineAfter = 4
	// suspectTTL is for how long a suspect is remembered after its last arrival.
	suspectTTL = time.Hour
	// minSeenAdvance is the least time between the known arrival and a later one reported by
	// another gateway that replaces it. Gateways exchange ages without the time in transit, so
	// an arrival seems newer each time that it is relayed.
	minSeenAdvance = time.Minute
	// maxSuspects bounds the suspects. Those with the fewest crashes are evicted first, and of
	// several those that were seen least recently.
	maxSuspects = 4096
	// suspicionRepeats is how many times a change is sent, to make up for lost datagrams.
	suspicionRepeats = 3
	// maxPerDatagram bounds the changed suspicions sent at once.
	maxPerDatagram = 32
	// updatesPerTurn is the number of updates of which one has a quarantined suspect and one another
	// suspect, although they haven't changed. A gateway that starts receives them from all others.
	updatesPerTurn = 4
)

// Quarantine identifies requests and prompt segments that crash the servers that run them.
//
// It guards against a request that is retried after each crash, through any gateway, and against
// requests of which no two are alike but all have one prompt segment: each run takes a server away
// from all other requests. A request is quarantined once quarantineAfter server instances have
// ended while running it, and a segment once segmentQuarantineAfter have, as reported by all
// gateways.
//
// All requests that ran on a crashed server are suspects, with all segments that other requests
// share. A complete response clears a request, and an answer clears its segments, also of crashes
// in the grace period after it: what is frequent is occasionally cut off by a server's end, and its
// crashes would add up. Of the remaining suspects, as few are quarantined as explain all crashes;
// see quarantineDecision.
//
// Not safe for concurrent use.
type Quarantine struct {
	suspects map[SuspectID]*suspect
	// decision says what is quarantined; nil if it must be computed again.
	decision  *quarantineDecision
	lastSweep time.Time
	// pending holds the suspects with changes to send to other gateways, oldest first.
	pending []SuspectID
	// quarantinedTurn and suspectTurn hold the quarantined suspects, and the others with several
	// crashes, that are still to be sent in turn even without changes. updateCount counts the calls
	// of Updates.
	quarantinedTurn, suspectTurn []SuspectID
	updateCount                  int
	// completions holds the recent complete responses and answers at this gateway.
	completions recentCompletions
	runs        suspectRuns
	// reported holds the suspects that TakeChanges has returned as quarantined, and reportedDecision is
	// the decision that it went by.
	reported         map[SuspectID]bool
	reportedDecision *quarantineDecision
	// trials holds when this gateway last made a trial of a segmentGroup, by its key.
	trials map[uint64]time.Time
}

// NewQuarantine returns a Quarantine without suspects.
func NewQuarantine() *Quarantine {
	return &Quarantine{suspects: map[SuspectID]*suspect{}, runs: suspectRuns{}, reported: map[SuspectID]bool{}, trials: map[uint64]time.Time{}}
}

// Empty reports whether there are no suspects; no request is quarantined then.
func (q *Quarantine) Empty() bool { return len(q.suspects) == 0 }

// ObserveCrash records that a server instance ended while it ran a request.
func (q *Quarantine) ObserveCrash(now time.Time, f Fingerprint, instance Key) {
	q.observeCrash(f.ID(), Crash{Instance: instance, At: now})
}

// ObserveResponse records a server's complete response to a request.
func (q *Quarantine) ObserveResponse(now time.Time, f Fingerprint) { q.observeAnswer(now, f.ID()) }

// Quarantined reports whether a request that arrives is quarantined. Each call extends the
// time for which a suspect is remembered.
func (q *Quarantine) Quarantined(now time.Time, f Fingerprint) bool {
	s := q.suspects[f.ID()]
	if s == nil {
		return false
	}
	s.seen = now
	return q.decide().requests[f]
}

// Len returns the number of quarantined requests and segments, those with the same fingerprint or
// segment once.
func (q *Quarantine) Len() int {
	d := q.decide()
	return len(d.requests) + len(d.segments)
}

// List returns what is known about the quarantined suspects, in a fixed order.
func (q *Quarantine) List() []Suspicion {
	var list []Suspicion
	for _, id := range q.decide().ids() {
		list = append(list, q.suspects[id].suspicion(id))
	}
	slices.SortFunc(list, func(a, b Suspicion) int { return a.ID.compare(b.ID) })
	return list
}

// Lift releases a quarantined suspect as an answer would, at this gateway and, by the next updates, at
// the others. It returns false if the suspect isn't quarantined.
func (q *Quarantine) Lift(now time.Time, id SuspectID) bool {
	if !q.decide().contains(id) || !q.record(id, now) {
		return false
	}
	q.announce(id, q.suspects[id])
	return true
}

// TakeChanges returns the suspects that have been quarantined since the last call and of which this
// gateway has observed a crash, and those that it returned so before and that have been released. Every
// quarantined suspect is returned by some gateway, unless those that observed its crashes have ended.
func (q *Quarantine) TakeChanges() (quarantined []Suspicion, released []SuspectID) {
	decision := q.decide()
	if decision == q.reportedDecision {
		return nil, nil
	}
	q.reportedDecision = decision
	for _, id := range decision.ids() {
		if s := q.suspects[id]; s.observedHere && !q.reported[id] {
			q.reported[id] = true
			quarantined = append(quarantined, s.suspicion(id))
		}
	}
	for id := range q.reported {
		if decision.contains(id) {
			continue
		}
		delete(q.reported, id)
		// A suspect that is no longer known wasn't released by any evidence.
		if q.suspects[id] != nil {
			released = append(released, id)
		}
	}
	return quarantined, released
}

// Merge merges another gateway's suspicions. If this gateway had a complete response that
// clears one of them, the clearance is sent to the others.
func (q *Quarantine) Merge(now time.Time, suspicions []Suspicion) {
	for _, update := range suspicions {
		if now.Sub(update.Seen) > suspectTTL {
			continue
		}
		q.record(update.ID, update.Cleared, update.Crashes...)
		s := q.suspects[update.ID]
		if update.Seen.Sub(s.seen) > minSeenAdvance {
			s.seen = update.Seen
		}
		if last := q.completions.lastCompletion(update.ID); !last.IsZero() && q.record(update.ID, last) {
			q.announce(update.ID, s)
		}
	}
}

// observeCrash records a crash that this gateway observed.
func (q *Quarantine) observeCrash(id SuspectID, c Crash) {
	if q.record(id, q.completions.lastCompletion(id), c) {
		q.suspects[id].observedHere = true
		q.announce(id, q.suspects[id])
	}
	q.suspects[id].seen = c.At
}

// observeAnswer records an answer at this gateway that clears a suspect.
func (q *Quarantine) observeAnswer(at time.Time, id SuspectID) {
	q.completions.add(at, id)
	if s := q.suspects[id]; s != nil && len(s.crashes) > 0 && q.record(id, at) {
		q.announce(id, s)
	}
}

// record merges an answer, if there was one, and crashes into the state of a suspect. It reports
// whether that changed the state.
func (q *Quarantine) record(id SuspectID, cleared time.Time, crashes ...Crash) bool {
	s := q.suspect(id)
	before := len(s.crashes)
	changed := s.clear(cleared)
	for _, c := range crashes {
		changed = s.addCrash(c) || changed
	}
	// No threshold is below quarantineAfter, so that fewer crashes decide nothing.
	if changed && max(before, len(s.crashes)) >= quarantineAfter {
		q.decision = nil
	}
	return changed
}

// Updates returns the suspicions to send to other gateways now: those that changed here, and at
// times one of the others in turn, for gateways that missed it because they started later or were
// disconnected. If more have changed than fit, those with the most crashes go first.
func (q *Quarantine) Updates(now time.Time) []Suspicion {
	q.sweep(now)
	q.pending = slices.DeleteFunc(q.pending, func(id SuspectID) bool { return q.suspects[id] == nil })
	if len(q.pending) > maxPerDatagram {
		slices.SortStableFunc(q.pending, func(a, b SuspectID) int { return len(q.suspects[b].crashes) - len(q.suspects[a].crashes) })
	}
	var updates []Suspicion
	remaining := q.pending[:0]
	for i, id := range q.pending {
		s := q.suspects[id]
		if i >= maxPerDatagram {
			remaining = append(remaining, id)
			continue
		}
		updates = append(updates, s.suspicion(id))
		if s.sendsLeft--; s.sendsLeft > 0 {
			remaining = append(remaining, id)
		}
	}
	q.pending = remaining
	if id, ok := q.nextInTurn(); ok && !slices.Contains(q.pending, id) {
		updates = append(updates, q.suspects[id].suspicion(id))
	}
	return updates
}

// nextInTurn returns the suspect to send in turn in this update, or false if there is none. Quarantined
// suspects have updates of their own, so that a gateway that missed them learns of them soon, however
// many others there are.
func (q *Quarantine) nextInTurn() (SuspectID, bool) {
	q.updateCount++
	switch q.updateCount % updatesPerTurn {
	case 0:
		return q.takeTurn(&q.quarantinedTurn, func(id SuspectID, _ *suspect) bool { return q.decide().contains(id) })
	case updatesPerTurn / 2:
		return q.takeTurn(&q.suspectTurn, func(id SuspectID, s *suspect) bool { return s.repeated && !q.decide().contains(id) })
	}
	return SuspectID{}, false
}

// takeTurn removes and returns the last of the suspects that are still to be sent in turn. If none is
// left, it begins again with all for which includes returns true.
func (q *Quarantine) takeTurn(turn *[]SuspectID, includes func(SuspectID, *suspect) bool) (SuspectID, bool) {
	if len(*turn) == 0 {
		for id, s := range q.suspects {
			if includes(id, s) {
				*turn = append(*turn, id)
			}
		}
		slices.SortFunc(*turn, SuspectID.compare)
	}
	for len(*turn) > 0 {
		id := (*turn)[len(*turn)-1]
		*turn = (*turn)[:len(*turn)-1]
		if q.suspects[id] != nil {
			return id, true
		}
	}
	return SuspectID{}, false
}

// announce queues a suspect to be sent to other gateways suspicionRepeats times.
func (q *Quarantine) announce(id SuspectID, s *suspect) {
	if s.sendsLeft <= 0 {
		q.pending = append(q.pending, id)
	}
	s.sendsLeft = suspicionRepeats
}

// suspect returns the state of a suspect, and creates it if needed.
func (q *Quarantine) suspect(id SuspectID) *suspect {
	s := q.suspects[id]
	if s == nil {
		if len(q.suspects) >= maxSuspects {
			q.evict()
		}
		s = newSuspect(id)
		q.suspects[id] = s
	}
	return s
}

// evict drops an eighth of the suspects, the first ones in the order of evictBefore. Many at once,
// because ordering them takes long and the crash of many servers brings thousands of suspects.
func (q *Quarantine) evict() {
	ids := slices.SortedFunc(maps.Keys(q.suspects), func(a, b SuspectID) int {
		return cmp.Or(q.suspects[a].compareEviction(q.suspects[b]), a.compare(b))
	})
	for _, id := range ids[:maxSuspects/8] {
		delete(q.suspects, id)
	}
	// One that is observed again is queued again.
	q.pending = slices.DeleteFunc(q.pending, func(id SuspectID) bool { return q.suspects[id] == nil })
	q.decision = nil
}

// sweep drops suspects that haven't arrived within suspectTTL, at most once a minute.
func (q *Quarantine) sweep(now time.Time) {
	if now.Sub(q.lastSweep) < time.Minute {
		return
	}
	q.lastSweep = now
	maps.DeleteFunc(q.trials, func(_ uint64, at time.Time) bool { return now.Sub(at) > suspectTTL })
	before := len(q.suspects)
	maps.DeleteFunc(q.suspects, func(_ SuspectID, s *suspect) bool { return now.Sub(s.seen) > suspectTTL })
	if len(q.suspects) != before {
		q.decision = nil
	}
}

// decide returns what is quarantined.
func (q *Quarantine) decide() *quarantineDecision {
	if q.decision == nil {
		q.decision = newQuarantineDecision(q.suspects)
	}
	return q.decision
}
