package policy

import "slices"

// suspectRuns counts the suspects' current runs through this gateway, by server.
type suspectRuns map[string]map[Fingerprint]int

// add counts the start of a run.
func (r suspectRuns) add(server string, f Fingerprint) {
	if r[server] == nil {
		r[server] = map[Fingerprint]int{}
	}
	r[server][f]++
}

// remove counts the end of a run.
func (r suspectRuns) remove(server string, f Fingerprint) {
	if r[server][f]--; r[server][f] <= 0 {
		delete(r[server], f)
	}
	if len(r[server]) == 0 {
		delete(r, server)
	}
}

// anyRunning reports whether at least one of the suspects runs at a server.
func (r suspectRuns) anyRunning(server string, suspects []Fingerprint) bool {
	return slices.ContainsFunc(suspects, func(f Fingerprint) bool { return r[server][f] > 0 })
}

// RunStarted records that a request was sent to a server. Callers record runs only while there
// are suspects.
func (q *Quarantine) RunStarted(f Fingerprint, server string) { q.runs.add(server, f) }

// RunEnded records the end of a run that RunStarted recorded.
func (q *Quarantine) RunEnded(f Fingerprint, server string) { q.runs.remove(server, f) }

// ServersToAvoid returns the names of the servers at which a request shouldn't run, so that
// the next crash distinguishes it from other suspects.
//
// It guards against quarantining a harmless request that ran beside the culprit at each crash
// so far: at the third crash an arbitrary one of the two is quarantined, and if it is the
// wrong one, a fourth server ends. From the second crash on, suspects that share all their
// crashes don't run at the same server through one gateway. Gateways can't know each other's
// runs, so the servers are also divided among these suspects. Requests with one crash aren't
// restricted: a server that crashes for reasons of its own makes suspects of all its requests.
func (q *Quarantine) ServersToAvoid(f Fingerprint, servers []Server) []string {
	indistinguishable := q.indistinguishable(f)
	if len(indistinguishable) == 0 {
		return nil
	}
	partitions := uint64(len(indistinguishable) + 1)
	rank := uint64(0)
	for _, other := range indistinguishable {
		if other < f {
			rank++
		}
	}
	var occupied, avoided []string
	for i := range servers {
		name := servers[i].Name
		running := q.runs.anyRunning(name, indistinguishable)
		if running {
			occupied = append(occupied, name)
		}
		if running || mix(hashName(name))%partitions != rank {
			avoided = append(avoided, name)
		}
	}
	if len(avoided) == len(servers) {
		return occupied
	}
	return avoided
}

// indistinguishable returns the other suspects that were running at all crashes of a request;
// none before its second crash.
func (q *Quarantine) indistinguishable(f Fingerprint) []Fingerprint {
	s := q.suspects[f.ID()]
	if s == nil || len(s.crashes) < quarantineAfter-1 {
		return nil
	}
	var others []Fingerprint
	for id, suspect := range q.suspects {
		if !id.Segment && id != f.ID() && suspect.sharesCrashes(s, nil) {
			others = append(others, Fingerprint(id.Hash))
		}
	}
	return others
}

// sharesCrashes reports whether s was running at all crashes of another suspect, other than the
// explained ones.
func (s *suspect) sharesCrashes(other *suspect, explained *explanation) bool {
	return !slices.ContainsFunc(other.crashes, func(c Crash) bool {
		return !explained.explains(c) && !slices.ContainsFunc(s.crashes, func(own Crash) bool { return own.Instance == c.Instance })
	})
}
