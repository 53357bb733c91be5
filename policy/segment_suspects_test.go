package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// crashSegments records that an instance ended at a time while it had a request with segments, which it
// had had for a tenth of a second.
func crashSegments(q *Quarantine, at time.Time, instance string, segments ...SegmentID) {
	q.ObserveSegmentCrash(segments, Crash{Instance: KeyOf(instance), At: at, Ran: 100 * time.Millisecond})
}

// never is a gateway's answer to whether it makes the trials of quarantined segments.
func never(uint64) bool { return false }

func always(uint64) bool { return true }

// quarantineSegments has servers end under segments, one a second, until they are quarantined. It
// returns the time of the last crash.
func quarantineSegments(q *Quarantine, segments ...SegmentID) time.Time {
	at := testStart
	for i := range segmentQuarantineAfter {
		at = testStart.Add(time.Duration(i) * time.Second)
		crashSegments(q, at, fmt.Sprint("server", i), segments...)
	}
	return at
}

// Guards against a prompt segment that ends one server after the other, in requests that differ.
func TestSegmentIsQuarantinedAfterCrashes(t *testing.T) {
	q := NewQuarantine()
	for i := range segmentQuarantineAfter {
		if q.SegmentsQuarantined(testStart, []SegmentID{7, 100}, never) {
			t.Fatalf("quarantined after %d crashes", i)
		}
		crashSegments(q, testStart.Add(time.Duration(i)*time.Second), fmt.Sprint(i), 7, SegmentID(100+i))
	}
	if !q.SegmentsQuarantined(testStart, []SegmentID{50, 7}, never) || q.SegmentsQuarantined(testStart, []SegmentID{50, 100}, never) || q.Len() != 1 {
		t.Errorf("%d quarantined, want only the segment of all crashes", q.Len())
	}
	if q.Quarantined(testStart, 7) {
		t.Error("a request with the fingerprint of the segment's ID is quarantined")
	}
}

// Segments with the same crashes are indistinguishable: requests with all of them are refused, and those
// with one run, so that their end tells which is at fault.
func TestSegmentsWithSameCrashesAreQuarantinedTogether(t *testing.T) {
	both, first, second := []SegmentID{1, 2}, []SegmentID{1}, []SegmentID{2}
	newPair := func() (*Quarantine, time.Time) {
		q := NewQuarantine()
		return q, quarantineSegments(q, 1, 2)
	}
	refused := func(q *Quarantine, at time.Time) [3]bool {
		return [3]bool{q.SegmentsQuarantined(at, both, never), q.SegmentsQuarantined(at, first, never), q.SegmentsQuarantined(at, second, never)}
	}
	q, at := newPair()
	if got := refused(q, at); got != [3]bool{true, false, false} {
		t.Errorf("refused %v, want only the request with both segments", got)
	}
	q.ObserveAnswer(at.Add(time.Second), first)
	if got := refused(q, at); got != [3]bool{true, false, true} {
		t.Errorf("refused %v after an answer with the first segment, want both with the second", got)
	}
	q, at = newPair()
	crashSegments(q, at.Add(time.Second), "last", 1)
	if got := refused(q, at); got != [3]bool{true, true, false} {
		t.Errorf("refused %v after a crash with the first segment, want both with the first", got)
	}
}

// Guards against refusing frequent segments when all servers end at once: they were running at most of
// them.
func TestServersThatEndTogetherQuarantineNoAnsweredSegment(t *testing.T) {
	for _, sinceAnswer := range []time.Duration{100 * time.Millisecond, 5 * time.Second} {
		q := NewQuarantine()
		q.ObserveAnswer(testStart, []SegmentID{7})
		for i := range 12 {
			crashSegments(q, testStart.Add(sinceAnswer+time.Duration(i)*5*time.Millisecond), fmt.Sprint(i), 7)
		}
		if q.SegmentsQuarantined(testStart, []SegmentID{7}, never) {
			t.Errorf("quarantined, answered %v before all servers ended", sinceAnswer)
		}
	}
}

// Guards against a segment that was sound and begins to crash servers with their next release.
func TestSegmentAnsweredBeforeIsQuarantined(t *testing.T) {
	q := NewQuarantine()
	q.ObserveAnswer(testStart, []SegmentID{7})
	for i := range segmentQuarantineAfter {
		crashSegments(q, testStart.Add(segmentGracePeriod+time.Duration(i+1)*300*time.Millisecond), fmt.Sprint(i), 7)
	}
	if !q.SegmentsQuarantined(testStart, []SegmentID{7}, never) {
		t.Error("not quarantined")
	}
}

// An answer shows that its segments were sound when it began. A long one that began before a crash and
// ends after it must not clear that crash.
func TestLongAnswerClearsOnlyCrashesBeforeItBegan(t *testing.T) {
	q := NewQuarantine()
	last := quarantineSegments(q, 7)
	q.ObserveAnswer(testStart.Add(-segmentGracePeriod-time.Second), []SegmentID{7})
	if !q.SegmentsQuarantined(last, []SegmentID{7}, never) {
		t.Error("released by an answer that began before the crashes")
	}
}

// Guards against a wrong decision that lasts for good, because what is always refused is never
// answered. One gateway lets one request through, early only if the segment was answered before.
func TestQuarantinedSegmentIsTried(t *testing.T) {
	q := NewQuarantine()
	last := quarantineSegments(q, 7)
	if !q.SegmentsQuarantined(last.Add(firstTrialDelay-time.Second), []SegmentID{7}, always) {
		t.Error("a segment that was never answered is tried early")
	}
	due := last.Add(firstTrialDelay)
	if !q.SegmentsQuarantined(due, []SegmentID{7}, never) {
		t.Error("tried by a gateway that doesn't own the trial")
	}
	if q.SegmentsQuarantined(due, []SegmentID{7}, always) || !q.SegmentsQuarantined(due.Add(time.Second), []SegmentID{7}, always) {
		t.Error("want one request let through at a time")
	}
	crashSegments(q, due, "tried", 7)
	if !q.SegmentsQuarantined(due.Add(firstTrialDelay+time.Second), []SegmentID{7}, always) {
		t.Error("the time until the next trial doesn't grow")
	}
	q.ObserveAnswer(due.Add(2*firstTrialDelay), []SegmentID{7})
	if q.SegmentsQuarantined(due.Add(2*firstTrialDelay), []SegmentID{7}, never) {
		t.Error("quarantined after an answer")
	}

	q = NewQuarantine()
	q.ObserveAnswer(testStart.Add(-time.Hour), []SegmentID{8})
	last = quarantineSegments(q, 8)
	if q.SegmentsQuarantined(last.Add(earlyTrialDelay), []SegmentID{8}, always) {
		t.Error("a segment that was answered before isn't tried early")
	}
}

// A request that is sent again after each crash has the crashes of its segments. It alone is refused,
// until another request with a segment crashes a server as well.
func TestRepeatedRequestIsQuarantinedBeforeItsSegments(t *testing.T) {
	q := NewQuarantine()
	for i := range quarantineAfter {
		at := testStart.Add(time.Duration(i) * time.Second)
		q.ObserveCrash(at, 5, KeyOf(fmt.Sprint(i)))
		crashSegments(q, at, fmt.Sprint(i), 7)
	}
	if !q.Quarantined(testStart, 5) || q.SegmentsQuarantined(testStart, []SegmentID{7}, never) {
		t.Error("want only the request quarantined")
	}
	crashSegments(q, testStart.Add(10*time.Second), "other", 7)
	if !q.SegmentsQuarantined(testStart, []SegmentID{7}, never) {
		t.Error("the segment isn't quarantined after a crash with another request")
	}
}

// Every quarantined suspect is reported once by the gateways that observed its crashes, so that one of
// them stores it, also if no gateway observed all crashes; and so is its release.
func TestQuarantinedSegmentsAreReportedOnce(t *testing.T) {
	observers := []*Quarantine{NewQuarantine(), NewQuarantine()}
	bystander := NewQuarantine()
	for i := range segmentQuarantineAfter {
		crashSegments(observers[i%2], testStart.Add(time.Duration(i)*time.Second), fmt.Sprint(i), 7)
	}
	exchange := func(now time.Time) {
		all := []*Quarantine{observers[0], observers[1], bystander}
		for _, from := range all {
			updates := from.Updates(now)
			for _, to := range all {
				if to != from {
					to.Merge(now, updates)
				}
			}
		}
	}
	now := testStart.Add(10 * time.Second)
	exchange(now)
	for i, q := range observers {
		taken, _ := q.TakeChanges()
		if again, _ := q.TakeChanges(); len(taken) != 1 || taken[0].ID != SegmentID(7).ID() || len(taken[0].Crashes) != segmentQuarantineAfter || len(again) != 0 {
			t.Errorf("gateway %d: reported %+v, then %+v, want the segment once", i, taken, again)
		}
	}
	if taken, _ := bystander.TakeChanges(); len(taken) != 0 || bystander.Len() != 1 {
		t.Errorf("a gateway that observed no crash reported %+v, %d quarantined", taken, bystander.Len())
	}
	bystander.ObserveAnswer(now, []SegmentID{7})
	exchange(now)
	for i, q := range observers {
		_, released := q.TakeChanges()
		if _, again := q.TakeChanges(); len(released) != 1 || len(again) != 0 {
			t.Errorf("gateway %d: %v released, then %v, want the segment once", i, released, again)
		}
	}
}

// Guards against the evidence of a culprit that waits behind thousands of suspects of a mass crash, or
// is evicted for them.
func TestRepeatedSuspectsAreSentFirst(t *testing.T) {
	q := NewQuarantine()
	for i := range 2 * maxSuspects {
		crashSegments(q, testStart, "a", SegmentID(1000+i))
	}
	crashSegments(q, testStart, "a", 7)
	crashSegments(q, testStart.Add(time.Second), "b", 7)
	updates := q.Updates(testStart.Add(time.Second))
	if !slices.ContainsFunc(updates, func(s Suspicion) bool { return s.ID == SegmentID(7).ID() && len(s.Crashes) == 2 }) {
		t.Error("the suspect with two crashes isn't in the next datagram")
	}
	if len(updates) > maxPerDatagram+1 || len(q.suspects) > maxSuspects {
		t.Errorf("%d suspicions in a datagram, %d suspects", len(updates), len(q.suspects))
	}
}

// A list of segments that is long or names one several times counts each once, and is bounded.
func TestUnusualSegmentLists(t *testing.T) {
	q := NewQuarantine()
	last := quarantineSegments(q, 7, 8, 7)
	if q.SegmentsQuarantined(last, []SegmentID{7, 7, 7}, never) {
		t.Error("one segment of two, named three times, counts as both")
	}
	if !q.SegmentsQuarantined(last, []SegmentID{7, 1, 8, 7}, never) {
		t.Error("a request with both segments isn't refused")
	}
	long := make([]SegmentID, 10*maxSegmentsPerRequest)
	for i := range long {
		long[i] = SegmentID(1000 + i)
	}
	crashSegments(q, last, "long", long...)
	if len(q.suspects) > maxSegmentsPerRequest+2 {
		t.Errorf("%d suspects of one request", len(q.suspects))
	}
}

// However many servers end before their crashes are known, the segment of all of them is taken, and not
// one beside it that was running at many.
func TestSegmentOfMostCrashesIsQuarantined(t *testing.T) {
	q := NewQuarantine()
	for i := range 3 * maxCrashes {
		segments := []SegmentID{9}
		if i%2 == 0 {
			segments = append(segments, 1)
		}
		crashSegments(q, testStart.Add(time.Duration(i)*10*time.Millisecond), fmt.Sprint(i), segments...)
	}
	if !q.SegmentsQuarantined(testStart, []SegmentID{9}, never) || q.SegmentsQuarantined(testStart, []SegmentID{1}, never) {
		t.Error("want the segment of all crashes quarantined, and only it")
	}
}

// Guards against a gateway that was cut off, and learns of a quarantined segment only after hundreds of
// other suspects.
func TestReconnectedGatewayLearnsQuarantinedSegmentFirst(t *testing.T) {
	gateways := make([]*Quarantine, 6)
	for i := range gateways {
		gateways[i] = NewQuarantine()
	}
	last := quarantineSegments(gateways[1], 7)
	for i := range 500 {
		crashSegments(gateways[1], last.Add(time.Second), "a", SegmentID(1000+i))
		crashSegments(gateways[1], last.Add(2*time.Second), "b", SegmentID(1000+i))
	}
	now := last.Add(time.Minute)
	broadcast := func(to []*Quarantine) {
		for _, from := range gateways[1:] {
			updates := from.Updates(now)
			for _, g := range to {
				if g != from {
					g.Merge(now, updates)
				}
			}
		}
		now = now.Add(gossipInterval)
	}
	for range 200 {
		broadcast(gateways[1:])
	}
	// The first gateway is connected again.
	for range 10 {
		broadcast(gateways)
	}
	if !gateways[0].SegmentsQuarantined(now, []SegmentID{7}, never) {
		t.Error("a gateway that was disconnected admits the segment a second after it reconnected")
	}
}

// Guards against a segment with so many crashes that the time until its next trial overflows, and is over
// at once.
func TestTrialDelayGrowsToItsBound(t *testing.T) {
	for crashes := segmentQuarantineAfter; crashes <= maxCrashes; crashes++ {
		g := &segmentGroup{crashes: crashes}
		if delay := g.trialDelay(); delay < firstTrialDelay || delay > maxTrialDelay || crashes > 12 && delay != maxTrialDelay {
			t.Errorf("%d crashes: next trial after %v", crashes, delay)
		}
	}
}
