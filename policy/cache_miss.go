package policy

import "time"

const (
	// nonHomeWeight is the cost per token of prefilling a segment that no server has at
	// a server other than its home. Gateways then do so mostly if the home isn't in
	// time: for a tenth of a second others don't know of the copy and prefill the
	// segment at its home.
	nonHomeWeight = 5.0
	// homeCount is the number of home servers of a prefix, in order of preference: a
	// prefix that is too popular for one server is copied to the next.
	homeCount = 3
	// fetchWeight is the cost per token of fetching a segment from another server: it
	// uses memory twice, and network bandwidth. At 1 a wait as long as the segment's
	// prefill is preferred to fetching it.
	fetchWeight = 1.0
	// fetchSetup is the time until a fetch begins to transfer data. The fastest links
	// take 2 ms and the slowest 8 ms.
	fetchSetup = 8 * time.Millisecond
	// minFetchTokens is the smallest number of tokens worth fetching: fewer are
	// prefilled in about the setup time.
	minFetchTokens = 1000
)

// cacheMiss is the part of a prompt's shared prefix that a server doesn't have cached,
// in tokens.
type cacheMiss struct {
	// uncached is the part that no server has.
	uncached float64
	// recomputed is the part that another server has cached and that is prefilled
	// nevertheless.
	recomputed float64
	// fetched is the part fetched from the server at index source, and transferTokens
	// the number of tokens that could be prefilled during the transfer.
	fetched        float64
	transferTokens float64
	source         int
	// home reports whether the server is the prefix's first home, and secondHome
	// whether it is the second one.
	home, secondHome bool
}

// prefillTokens returns the number of tokens that the server prefills, or could prefill
// while it fetches.
func (m *cacheMiss) prefillTokens() int { return int(m.uncached + m.recomputed + m.transferTokens) }

// penalty returns the cost in addition to the prefill itself, in tokens.
func (m *cacheMiss) penalty() float64 {
	cost := (recomputeWeight-1)*m.recomputed + fetchWeight*m.fetched
	if !m.home {
		cost += nonHomeWeight * m.uncached
	}
	return cost
}

// prefixLookup holds which servers have which part of a prompt's shared prefix cached.
type prefixLookup struct {
	// length is the shared prefix's length in tokens.
	length int
	// homes are the indices of the prefix's home servers, in order of preference.
	homes [homeCount]int
	// longestCached is the longest beginning that was sent to a usable server, in tokens.
	longestCached int
	// cached holds what each server has cached, by the server's index; nil if the prompt has
	// no shared prefix.
	cached []cachedPrefix
	// sources are the servers that have prefilled most of the prefix, one of each software version:
	// a server can't be relied on to use what another version has cached.
	sources []prefixSource
}

// prefixSource is the server of a software version that has prefilled most of a prefix.
type prefixSource struct {
	version Key
	// index is the server's index.
	index int
}

// sourceFor returns the index of the server from which one of the given version can fetch the prefix;
// -1 for none.
func (l *prefixLookup) sourceFor(version Key) int {
	for _, source := range l.sources {
		if source.version == version {
			return source.index
		}
	}
	return -1
}

// offerSource makes the server at index i the source of its version if it has prefilled more of the
// prefix than the current one, or as much with fewer requests in flight.
func (l *prefixLookup) offerSource(servers []Server, i int) {
	for s := range l.sources {
		source := &l.sources[s]
		if source.version != servers[i].Version {
			continue
		}
		current, offered := l.cached[source.index].prefilled, l.cached[i].prefilled
		if offered > current || offered == current && servers[i].inFlight() < servers[source.index].inFlight() {
			source.index = i
		}
		return
	}
	l.sources = append(l.sources, prefixSource{servers[i].Version, i})
}

// lookUpPrefix looks up which of the usable servers have the job's shared prefix cached.
func (c *Chooser) lookUpPrefix(now time.Time, job *Job, servers []Server, usable func(*Server) bool) prefixLookup {
	prefix := job.sharedPrefix()
	lookup := prefixLookup{length: prefix.End, homes: homeServers(prefix.ID, servers, usable)}
	if prefix.ID == 0 {
		return lookup
	}
	lookup.cached = make([]cachedPrefix, len(servers))
	if !c.index.hasAny(job.SharedSegments) {
		return lookup
	}
	for i := range servers {
		if !usable(&servers[i]) {
			continue
		}
		cached := c.index.cachedAt(now, KeyOf(servers[i].Name), job.SharedSegments)
		lookup.cached[i] = cached
		lookup.longestCached = max(lookup.longestCached, cached.expected)
		if cached.prefilled > 0 {
			lookup.offerSource(servers, i)
		}
	}
	return lookup
}

// missAt returns the part of the shared prefix that the given server, at index i, doesn't have
// cached.
func (l *prefixLookup) missAt(i int, s *Server, job *Job, rate *PrefillRate) cacheMiss {
	if l.cached == nil {
		return cacheMiss{}
	}
	miss := cacheMiss{home: i == l.homes[0], secondHome: i == l.homes[1], uncached: float64(l.length - l.longestCached), recomputed: float64(l.longestCached - l.cached[i].expected)}
	source := l.sourceFor(s.Version)
	if source < 0 || source == i || job.FetchRate == 0 {
		return miss
	}
	fetched := float64(l.cached[source].prefilled - l.cached[i].expected)
	// A slow server prefills fewer tokens during the transfer, which takes as long.
	transfer := (rate.tokensIn(fetchSetup) + fetched*rate.rate()/job.FetchRate) / s.slowdown()
	if fetched >= minFetchTokens && transfer < fetched {
		miss.fetched, miss.transferTokens, miss.source = fetched, transfer, source
		miss.recomputed -= fetched
	}
	return miss
}

// homeServers returns the indices of the usable servers with the highest rendezvous
// hashes, highest first, and -1 where there are fewer servers or no prefix.
func homeServers(prefix uint64, servers []Server, usable func(*Server) bool) [homeCount]int {
	var hashes [homeCount]uint64
	homes := [homeCount]int{-1, -1, -1}
	if prefix == 0 {
		return homes
	}
	for i := range servers {
		if !usable(&servers[i]) {
			continue
		}
		server, hash := i, mix(prefix^hashName(servers[i].Name))
		for rank := range homes {
			if homes[rank] < 0 || hash > hashes[rank] {
				homes[rank], server = server, homes[rank]
				hashes[rank], hash = hash, hashes[rank]
			}
			if server < 0 {
				break
			}
		}
	}
	return homes
}
