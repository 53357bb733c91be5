package soak

import "slices"

const (
	// minResumptions is the number of resumed streams from which the share of those that
	// go on is checked, and minResumedShare the least share, relative to that of the new
	// streams that begin.
	minResumptions  = 12
	minResumedShare = 0.5
	// minVersionServers is the number of servers of a stream's version that must serve for
	// the stream to count as one that can go on.
	minVersionServers = 2
)

// verifyVersions checks that the events of a stream come from servers of one software
// version, in one response and over all calls of its caller. An earlier release joins
// versions in its own responses, but no other gateway may add another one.
func (h indexedHistory) verifyVersions(report reportFunc) {
	versions := map[string][]string{}
	for _, c := range h.streamCalls() {
		known := versions[c.stream()]
		for _, version := range versionsIn(c.Body) {
			if len(known) > 0 && !slices.Contains(known, version) && !slices.Contains(h.Earlier, c.Gateway) {
				report(checkVersions, "%s: an event of %s follows one of %s", c, version, known[len(known)-1])
			}
			known = append(known, version)
		}
		versions[c.stream()] = known
	}
}

// streamCalls returns the calls for streams that can be resumed, ordered by time.
func (h indexedHistory) streamCalls() []Call {
	var calls []Call
	for _, c := range h.Calls {
		if c.Kind == kindResume {
			calls = append(calls, c)
		}
	}
	slices.SortStableFunc(calls, func(a, b Call) int { return a.Sent.Compare(b.Sent) })
	return calls
}

// verifyResumptions checks that resumed streams go on at least minResumedShare as often
// as new ones begin. Counted are calls at gateways without faults and, of the resumed
// ones, those of whose version minVersionServers servers served. A gateway of an earlier
// release tells no other one where its streams began.
func (h indexedHistory) verifyResumptions(report reportFunc) {
	versions, earlier := map[string]string{}, map[string]bool{}
	resumed, wentOn, started, began := 0, 0, 0, 0
	for _, c := range h.streamCalls() {
		version, isKnown := versions[c.stream()]
		if found := versionsIn(c.Body); len(found) > 0 && !isKnown {
			versions[c.stream()] = found[0]
		}
		if c.Resumes == "" {
			earlier[c.ID] = slices.Contains(h.Earlier, c.Gateway)
		}
		if h.affectedByFault(c.Gateway, c) || slices.Contains(h.Earlier, c.Gateway) {
			continue
		}
		switch {
		case c.Resumes == "":
			started++
			if c.wentOn() {
				began++
			}
		case !earlier[c.stream()] && h.serversOf(version, c) >= minVersionServers:
			resumed++
			if c.wentOn() {
				wentOn++
			}
		}
	}
	if resumed >= minResumptions && float64(wentOn)/float64(resumed) < minResumedShare*float64(began)/float64(max(started, 1)) {
		report(checkResumptions, "%d of %d resumed streams went on, while %d of %d new ones began", wentOn, resumed, began, started)
	}
}

// serversOf returns the number of servers of a software version that served without
// faults during a call.
func (h indexedHistory) serversOf(version string, c Call) (count int) {
	for _, span := range h.Servers {
		if span.Version == version && span.From.Before(c.Sent) && (span.To.IsZero() || span.To.After(c.Done)) && !h.affectedByFault(span.Server, c) {
			count++
		}
	}
	return count
}
