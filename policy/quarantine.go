package policy

import (
	"maps"
	"slices"
	"strconv"
	"time"
)

const (
	// quarantineAfter is how many server instances must end while running a request before it
	// is quarantined.
	quarantineAfter = 3
	// suspectTTL is for how long a suspect is remembered after its last arrival.
	suspectTTL = time.Hour
	// minSeenAdvance is the least time between the known arrival and a later one reported by
	// another gateway that replaces it. Gateways exchange ages without the time in transit, so
	// an arrival seems newer each time that it is relayed.
	minSeenAdvance = time.Minute
	// maxSuspects bounds the suspects. The one with the fewest crashes is evicted first, and
	// of several the one that was seen least recently.
	maxSuspects = 4096
	// suspicionRepeats is how many times a change is sent, to make up for lost datagrams.
	suspicionRepeats = 3
	// maxPerDatagram bounds the changed suspicions sent at once.
	maxPerDatagram = 32
)

// Fingerprint identifies a request's content: a retry has the fingerprint of the original
// request.
type Fingerprint uint64

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// Crash is the end of a server instance while it ran a request.
type Crash struct {
	// Instance identifies the server instance.
	Instance Key
	// At is when the instance ended.
	At time.Time
}

// Suspicion is what is known about a request that was running when server instances ended.
type Suspicion struct {
	Fingerprint Fingerprint
	// Cleared is when a server last answered the request completely; zero for never.
	Cleared time.Time
	// Seen is when the request last arrived at any gateway.
	Seen time.Time
	// Crashes are the crashes that count since the request was cleared.
	Crashes []Crash
}

// LastCrash returns when the last server instance ended; zero for none.
func (s Suspicion) LastCrash() time.Time {
	var last time.Time
	for _, c := range s.Crashes {
		if c.At.After(last) {
			last = c.At
		}
	}
	return last
}

// Quarantine identifies requests that crash the servers that run them.
//
// It guards against a request that is retried after each crash, through any gateway: each run
// takes a server away from all other requests. Such a request is quarantined once
// quarantineAfter server instances have ended while running it, as reported by all gateways.
//
// All other requests that ran on a crashed server are suspects as well. A complete response
// clears a request, also of crashes in the next crashGracePeriod: a frequent request is
// occasionally cut off by a server's end, and its crashes would add up. Of the remaining
// suspects, as few are quarantined as explain all crashes: a request that ran beside a
// quarantined one is quarantined only for other crashes.
//
// Not safe for concurrent use.
type Quarantine struct {
	suspects map[Fingerprint]*suspect
	// quarantined holds the quarantined requests; nil if it must be recomputed.
	quarantined map[Fingerprint]bool
	lastSweep   time.Time
	// pending holds the suspects with changes to send to other gateways, oldest first.
	pending []Fingerprint
	// roundRobin holds the suspects that are sent in turn even without changes.
	roundRobin []Fingerprint
	// completions holds the recent complete responses at this gateway.
	completions recentCompletions
	runs        suspectRuns
}

// NewQuarantine returns a Quarantine without suspects.
func NewQuarantine() *Quarantine {
	return &Quarantine{suspects: map[Fingerprint]*suspect{}, runs: suspectRuns{}}
}

// Empty reports whether there are no suspects; no request is quarantined then.
func (q *Quarantine) Empty() bool { return len(q.suspects) == 0 }

// ObserveCrash records that a server instance ended while it ran a request. It reports whether
// the request is newly quarantined as a result.
func (q *Quarantine) ObserveCrash(now time.Time, f Fingerprint, instance Key) bool {
	before := q.quarantinedSet()[f]
	if q.record(f, q.completions.lastCompletion(f), Crash{Instance: instance, At: now}) {
		q.announce(f, q.suspects[f])
	}
	q.suspects[f].seen = now
	return !before && q.quarantinedSet()[f]
}

// ObserveResponse records a server's complete response to a request.
func (q *Quarantine) ObserveResponse(now time.Time, f Fingerprint) {
	q.completions.add(now, f)
	if s := q.suspects[f]; s != nil && len(s.crashes) > 0 && q.record(f, now) {
		q.announce(f, s)
	}
}

// Quarantined reports whether a request that arrives is quarantined. Each call extends the
// time for which a suspect is remembered.
func (q *Quarantine) Quarantined(now time.Time, f Fingerprint) bool {
	s := q.suspects[f]
	if s == nil {
		return false
	}
	s.seen = now
	return q.quarantinedSet()[f]
}

// Len returns the number of quarantined fingerprints.
func (q *Quarantine) Len() int { return len(q.quarantinedSet()) }

// Suspicion returns what is known about a request; without crashes if nothing is.
func (q *Quarantine) Suspicion(f Fingerprint) Suspicion {
	if s := q.suspects[f]; s != nil {
		return s.suspicion(f)
	}
	return Suspicion{Fingerprint: f}
}

// Merge merges another gateway's suspicions. If this gateway had a complete response that
// clears one of them, the clearance is sent to the others.
func (q *Quarantine) Merge(now time.Time, suspicions []Suspicion) {
	for _, update := range suspicions {
		if now.Sub(update.Seen) > suspectTTL {
			continue
		}
		q.record(update.Fingerprint, update.Cleared, update.Crashes...)
		s := q.suspects[update.Fingerprint]
		if update.Seen.Sub(s.seen) > minSeenAdvance {
			s.seen = update.Seen
		}
		if last := q.completions.lastCompletion(update.Fingerprint); !last.IsZero() && q.record(update.Fingerprint, last) {
			q.announce(update.Fingerprint, s)
		}
	}
}

// record merges a complete response, if there was one, and crashes into the state of a
// request. It reports whether that changed the state.
func (q *Quarantine) record(f Fingerprint, cleared time.Time, crashes ...Crash) bool {
	s := q.suspect(f)
	changed := s.clear(cleared)
	for _, c := range crashes {
		changed = s.addCrash(c) || changed
	}
	if changed {
		q.quarantined = nil
	}
	return changed
}

// Updates returns the suspicions to send to other gateways now: those that changed here, and
// one of the others in turn, for gateways that missed it because they started later or were
// disconnected.
func (q *Quarantine) Updates(now time.Time) []Suspicion {
	q.sweep(now)
	var updates []Suspicion
	remaining := q.pending[:0]
	for i, f := range q.pending {
		s := q.suspects[f]
		switch {
		case s == nil:
		case i >= maxPerDatagram:
			remaining = append(remaining, f)
		default:
			updates = append(updates, s.suspicion(f))
			if s.sendsLeft--; s.sendsLeft > 0 {
				remaining = append(remaining, f)
			}
		}
	}
	q.pending = remaining
	if f, ok := q.nextRoundRobin(); ok && !slices.Contains(q.pending, f) {
		updates = append(updates, q.suspects[f].suspicion(f))
	}
	return updates
}

// nextRoundRobin returns the next suspect to send in turn, or false if there is none.
func (q *Quarantine) nextRoundRobin() (Fingerprint, bool) {
	if len(q.roundRobin) == 0 {
		for f, s := range q.suspects {
			if s.repeated {
				q.roundRobin = append(q.roundRobin, f)
			}
		}
	}
	for len(q.roundRobin) > 0 {
		f := q.roundRobin[len(q.roundRobin)-1]
		q.roundRobin = q.roundRobin[:len(q.roundRobin)-1]
		if q.suspects[f] != nil {
			return f, true
		}
	}
	return 0, false
}

// announce queues a suspect to be sent to other gateways suspicionRepeats times.
func (q *Quarantine) announce(f Fingerprint, s *suspect) {
	if s.sendsLeft <= 0 {
		q.pending = append(q.pending, f)
	}
	s.sendsLeft = suspicionRepeats
}

// suspect returns the state of a request, and creates it if needed.
func (q *Quarantine) suspect(f Fingerprint) *suspect {
	s := q.suspects[f]
	if s == nil {
		if len(q.suspects) >= maxSuspects {
			q.evict()
		}
		s = &suspect{}
		q.suspects[f] = s
	}
	return s
}

// evict drops the suspect that evictBefore orders before all others.
func (q *Quarantine) evict() {
	var victim Fingerprint
	var victimState *suspect
	for f, s := range q.suspects {
		if victimState == nil || s.evictBefore(victimState) {
			victim, victimState = f, s
		}
	}
	delete(q.suspects, victim)
	q.quarantined = nil
}

// sweep drops suspects that haven't arrived within suspectTTL, at most once a minute.
func (q *Quarantine) sweep(now time.Time) {
	if now.Sub(q.lastSweep) < time.Minute {
		return
	}
	q.lastSweep = now
	before := len(q.suspects)
	maps.DeleteFunc(q.suspects, func(_ Fingerprint, s *suspect) bool { return now.Sub(s.seen) > suspectTTL })
	if len(q.suspects) != before {
		q.quarantined = nil
	}
}

// quarantinedSet returns the suspects that are quarantined. A greedy choice keeps their number
// small: each round takes the suspect with the most crashes that no quarantined one explains
// yet, until none has quarantineAfter of them left. All gateways with the same information get
// the same result. A request that was quarantined for another one's crashes is released by the
// next crash at which it wasn't running.
func (q *Quarantine) quarantinedSet() map[Fingerprint]bool {
	if q.quarantined != nil {
		return q.quarantined
	}
	q.quarantined = map[Fingerprint]bool{}
	explained := map[Key]bool{}
	for {
		var best Fingerprint
		most := quarantineAfter - 1
		for f, s := range q.suspects {
			if n := s.unexplained(explained); n > most || n == most && n >= quarantineAfter && f < best {
				best, most = f, n
			}
		}
		if most < quarantineAfter {
			return q.quarantined
		}
		q.quarantined[best] = true
		for _, c := range q.suspects[best].crashes {
			explained[c.Instance] = true
		}
	}
}
