package policy

import "time"

const (
	// nonHomeWeight is what a part that nobody holds counts for at another server
	// than its home, as a part of its length: senders go there mostly where
	// the home isn't in time, since others don't hear of it for a tenth of a
	// second and read the part at home.
	nonHomeWeight = 5.0
	// homeCount is how many servers a part belongs to, in order: what is asked for
	// more often than one can bear is copied to the next.
	homeCount = 3
	// fetchWeight is what a part that is fetched counts for, as a part of its
	// length: it takes memory twice, and a link's time. A wait as long as reading
	// it is borne first.
	fetchWeight = 1.0
	// fetchSetup is how long it takes until a part that is fetched begins to
	// arrive; the fastest links take 2 ms and the slowest 8.
	fetchSetup = 8 * time.Millisecond
	// minFetchTokens is the least that is worth being fetched, in tokens: less is
	// read in about the time of the setup.
	minFetchTokens = 1000
)

// need is what a server lacks of a prompt's shared parts, in tokens.
type need struct {
	// first is what no server holds: it has to be read somewhere.
	first float64
	// again is what another server holds and is read all the same.
	again float64
	// fetched is what is fetched from another server, at the place from, and
	// transfer what could be read in the time that takes.
	fetched  float64
	transfer float64
	source     int
	// home says that the server is the one that first is to be read at, and second
	// that it is the next one.
	home, second bool
}

// prefillTokens is what the server reads, or could while it fetches.
func (n *need) prefillTokens() int { return int(n.first + n.again + n.transfer) }

// penalty is what it counts for against waiting, beside the reading itself.
func (n *need) penalty() float64 {
	cost := (recomputeWeight-1)*n.again + fetchWeight*n.fetched
	if !n.home {
		cost += nonHomeWeight * n.first
	}
	return cost
}

// prefixLookup is who holds what of a prompt's shared parts.
type prefixLookup struct {
	length int
	// homes are the places that the parts belong to, in order.
	homes [homeCount]int
	// longestCached is the longest beginning that a usable server has been sent.
	longestCached int
	cached []cachedPrefix
	// source is the place of the server that has read most; -1 for none.
	source int
}

// lookUpPrefix finds who holds what.
func (c *Chooser) lookUpPrefix(now time.Time, job *Job, servers []Server, usable func(*Server) bool) prefixLookup {
	prefix := job.prefix()
	shared := prefixLookup{length: prefix.Upto, homes: homeServers(prefix.ID, servers, usable), source: -1}
	if prefix.ID == 0 {
		return shared
	}
	shared.cached = make([]cachedPrefix, len(servers))
	if !c.index.hasAny(job.Shared) {
		return shared
	}
	for i := range servers {
		if !usable(&servers[i]) {
			continue
		}
		h := c.index.cachedAt(now, KeyOf(servers[i].Name), job.Shared)
		shared.cached[i] = h
		shared.longestCached = max(shared.longestCached, h.expected)
		if h.prefilled > 0 && (shared.source < 0 || h.prefilled > shared.cached[shared.source].prefilled || h.prefilled == shared.cached[shared.source].prefilled && servers[i].inFlight() < servers[shared.source].inFlight()) {
			shared.source = i
		}
	}
	return shared
}

// missAt is what the server missAt a place lacks.
func (p *prefixLookup) missAt(i int, job *Job, rate *PrefillRate) need {
	if p.cached == nil {
		return need{}
	}
	n := need{home: i == p.homes[0], second: i == p.homes[1], first: float64(p.length - p.longestCached), again: float64(p.longestCached - p.cached[i].expected)}
	if p.source < 0 || p.source == i || job.FetchRate == 0 {
		return n
	}
	fetched := float64(p.cached[p.source].prefilled - p.cached[i].expected)
	transfer := rate.during(fetchSetup) + fetched*rate.rate()/job.FetchRate
	if fetched >= minFetchTokens && transfer < fetched {
		n.fetched, n.transfer, n.source = fetched, transfer, p.source
		n.again -= fetched
	}
	return n
}

// homeServers are the places of the usable servers with the highest hashes, the
// highest first; -1 where there are fewer, or no prefix.
func homeServers(prefix uint64, servers []Server, usable func(*Server) bool) [homeCount]int {
	var hashes [homeCount]uint64
	places := [homeCount]int{-1, -1, -1}
	if prefix == 0 {
		return places
	}
	for i := range servers {
		if !usable(&servers[i]) {
			continue
		}
		place, hash := i, mix(prefix^hashName(servers[i].Name))
		for at := range places {
			if places[at] < 0 || hash > hashes[at] {
				places[at], place = place, places[at]
				hashes[at], hash = hash, hashes[at]
			}
			if place < 0 {
				break
			}
		}
	}
	return places
}
