package policy

import "slices"

// suspectRuns counts the runs of suspects at servers, through this sender.
type suspectRuns map[string]map[Fingerprint]int

func (r suspectRuns) add(server string, f Fingerprint) {
	if r[server] == nil {
		r[server] = map[Fingerprint]int{}
	}
	r[server][f]++
}

func (r suspectRuns) remove(server string, f Fingerprint) {
	if r[server][f]--; r[server][f] <= 0 {
		delete(r[server], f)
	}
	if len(r[server]) == 0 {
		delete(r, server)
	}
}

// any reports whether one of the suspects runs at a server.
func (r suspectRuns) any(server string, suspects []Fingerprint) bool {
	return slices.ContainsFunc(suspects, func(f Fingerprint) bool { return r[server][f] > 0 })
}

// Began notes that a request was sent to a server while there are suspects.
func (q *Quarantine) Began(f Fingerprint, server string) { q.runs.add(server, f) }

// Ended notes that such a run has ended.
func (q *Quarantine) Ended(f Fingerprint, server string) { q.runs.remove(server, f) }

// Avoided are those of the servers at which a request isn't to run, so that the next crash
// distinguishes it from other suspects.
//
// It answers an innocent request that ran beside the culprit at each crash so far: at the
// third, one of the two is quarantined by chance, and if that is the wrong one, a fourth server
// ends. From the second crash on, suspects that share all crashes don't run at the same server
// through one sender, and senders that can't know of each other's runs leave each of them other
// servers. With one crash they go anywhere: a server that crashes of itself makes suspects of
// all its requests.
func (q *Quarantine) Avoided(f Fingerprint, servers []Server) []string {
	alike := q.alike(f)
	if len(alike) == 0 {
		return nil
	}
	parts := uint64(len(alike) + 1)
	own := uint64(0)
	for _, other := range alike {
		if other < f {
			own++
		}
	}
	var occupied, avoided []string
	for i := range servers {
		name := servers[i].Name
		taken := q.runs.any(name, alike)
		if taken {
			occupied = append(occupied, name)
		}
		if taken || mix(hashName(name))%parts != own {
			avoided = append(avoided, name)
		}
	}
	if len(avoided) == len(servers) {
		return occupied
	}
	return avoided
}

// alike are the other suspects under which all starts ended that ended under a request.
func (q *Quarantine) alike(f Fingerprint) []Fingerprint {
	s := q.suspects[f]
	if s == nil || len(s.crashes) < quarantineAfter-1 {
		return nil
	}
	var alike []Fingerprint
	for other, o := range q.suspects {
		if other != f && o.shares(s) {
			alike = append(alike, other)
		}
	}
	return alike
}

// shares reports whether all starts ended under the suspect that ended under another.
func (s *suspect) shares(other *suspect) bool {
	return !slices.ContainsFunc(other.crashes, func(c Crash) bool {
		return !slices.ContainsFunc(s.crashes, func(own Crash) bool { return own.Start == c.Start })
	})
}
