package policy

import "slices"

// quarantineDecision says which requests are quarantined.
//
// A greedy choice keeps their number small: each round takes the suspect with the most crashes that
// no quarantined one explains yet, until none is left that has enough of them. Of a request and its
// segments with the same crashes the request is taken, which affects no others. All gateways with
// the same information decide the same. A suspect that was quarantined for another one's crashes is
// released by the next crash at which it wasn't running.
//
// Segments with the same crashes are indistinguishable. They are quarantined as a group: a request
// that has all of them is refused, since it would crash a server whichever is at fault. One that has
// some of them runs, and its end is evidence: an answer clears these, and a crash the others.
type quarantineDecision struct {
	requests map[Fingerprint]bool
	// segments holds the group of each quarantined segment.
	segments map[SegmentID]*segmentGroup
}

// newQuarantineDecision decides about the suspects.
func newQuarantineDecision(suspects map[SuspectID]*suspect) *quarantineDecision {
	d := &quarantineDecision{requests: map[Fingerprint]bool{}, segments: map[SegmentID]*segmentGroup{}}
	explained := &explanation{}
	for {
		id, ok := mostUnexplained(suspects, explained)
		if !ok {
			return d
		}
		if id.Segment {
			d.addGroup(suspects, id, explained)
		} else {
			d.requests[Fingerprint(id.Hash)] = true
		}
		explained.add(suspects[id].crashes)
	}
}

// mostUnexplained returns the suspect with the most crashes that aren't explained, among those that
// have enough to be quarantined. It reports false if there is none.
func mostUnexplained(suspects map[SuspectID]*suspect, explained *explanation) (SuspectID, bool) {
	var best SuspectID
	var most []Crash
	for id, s := range suspects {
		if len(s.crashes) < max(len(most), s.threshold()) {
			continue
		}
		crashes := s.unexplained(explained)
		if s.count(crashes) < s.threshold() {
			continue
		}
		if order := compareCrashes(crashes, most); order > 0 || order == 0 && id.compare(best) < 0 {
			best, most = id, crashes
		}
	}
	return best, len(most) > 0
}

// addGroup quarantines a segment, and those with the same unexplained crashes.
func (d *quarantineDecision) addGroup(suspects map[SuspectID]*suspect, segment SuspectID, explained *explanation) {
	crashes := suspects[segment].unexplained(explained)
	group := &segmentGroup{crashes: len(crashes), lastCrash: crashes[len(crashes)-1].At}
	for id, s := range suspects {
		if id.Segment && len(s.crashes) >= len(crashes) && len(s.unexplained(explained)) == len(crashes) && s.sharesCrashes(suspects[segment], explained) {
			d.segments[SegmentID(id.Hash)] = group
			group.members = append(group.members, SegmentID(id.Hash))
			group.answered = group.answered || !s.cleared.IsZero()
		}
	}
}

// refusing returns the groups of which a request with the given shared segments has all members. It is
// refused if there is any.
func (d *quarantineDecision) refusing(segments []SegmentID) []*segmentGroup {
	if len(d.segments) == 0 {
		return nil
	}
	held := map[*segmentGroup]int{}
	for i, id := range segments {
		if group := d.segments[id]; group != nil && !slices.Contains(segments[:i], id) {
			held[group]++
		}
	}
	var refusing []*segmentGroup
	for group, n := range held {
		if n == len(group.members) {
			refusing = append(refusing, group)
		}
	}
	return refusing
}

// contains reports whether a suspect is quarantined.
func (d *quarantineDecision) contains(id SuspectID) bool {
	if id.Segment {
		return d.segments[SegmentID(id.Hash)] != nil
	}
	return d.requests[Fingerprint(id.Hash)]
}

// ids returns all quarantined suspects, in no particular order.
func (d *quarantineDecision) ids() []SuspectID {
	ids := make([]SuspectID, 0, len(d.requests)+len(d.segments))
	for f := range d.requests {
		ids = append(ids, f.ID())
	}
	for s := range d.segments {
		ids = append(ids, s.ID())
	}
	return ids
}
