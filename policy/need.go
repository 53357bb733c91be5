package policy

import "time"

const (
	// newElsewhere is what a part that nobody holds counts for at another server
	// than its home, as a part of its length: senders go there mostly where
	// the home isn't in time, since others don't hear of it for a tenth of a
	// second and read the part at home.
	newElsewhere = 5.0
	// homeCount is how many servers a part belongs to, in order: what is asked for
	// more often than one can bear is copied to the next.
	homeCount = 3
	// copyWeight is what a part that is fetched counts for, as a part of its
	// length: it takes memory twice, and a link's time. A wait as long as reading
	// it is borne first.
	copyWeight = 1.0
	// fetchSetup is how long it takes until a part that is fetched begins to
	// arrive; the fastest links take 2 ms and the slowest 8.
	fetchSetup = 8 * time.Millisecond
	// fetchLeast is the least that is worth being fetched, in tokens: less is
	// read in about the time of the setup.
	fetchLeast = 1000
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
	from     int
	// home says that the server is the one that first is to be read at, and second
	// that it is the next one.
	home, second bool
}

// reading is what the server reads, or could while it fetches.
func (n *need) reading() int { return int(n.first + n.again + n.transfer) }

// cost is what it counts for against waiting, beside the reading itself.
func (n *need) cost() float64 {
	cost := (rereadWeight-1)*n.again + copyWeight*n.fetched
	if !n.home {
		cost += newElsewhere * n.first
	}
	return cost
}

// sharedParts is who holds what of a prompt's shared parts.
type sharedParts struct {
	length int
	// homes are the places that the parts belong to, in order.
	homes [homeCount]int
	// most is the longest beginning that a usable server has been sent.
	most int
	held []held
	// source is the place of the server that has read most; -1 for none.
	source int
}

// lookUp finds who holds what.
func (c *Chooser) lookUp(now time.Time, job *Job, servers []Server, usable func(*Server) bool) sharedParts {
	prefix := job.prefix()
	shared := sharedParts{length: prefix.Upto, homes: homesOf(prefix.ID, servers, usable), source: -1}
	if prefix.ID == 0 {
		return shared
	}
	shared.held = make([]held, len(servers))
	if !c.index.knows(job.Shared) {
		return shared
	}
	for i := range servers {
		if !usable(&servers[i]) {
			continue
		}
		h := c.index.at(now, KeyOf(servers[i].Name), job.Shared)
		shared.held[i] = h
		shared.most = max(shared.most, h.tokens)
		if h.read > 0 && (shared.source < 0 || h.read > shared.held[shared.source].read || h.read == shared.held[shared.source].read && servers[i].inFlight() < servers[shared.source].inFlight()) {
			shared.source = i
		}
	}
	return shared
}

// at is what the server at a place lacks.
func (p *sharedParts) at(i int, job *Job, rate *PrefillRate) need {
	if p.held == nil {
		return need{}
	}
	n := need{home: i == p.homes[0], second: i == p.homes[1], first: float64(p.length - p.most), again: float64(p.most - p.held[i].tokens)}
	if p.source < 0 || p.source == i || job.FetchRate == 0 {
		return n
	}
	fetched := float64(p.held[p.source].read - p.held[i].tokens)
	transfer := rate.during(fetchSetup) + fetched*rate.rate()/job.FetchRate
	if fetched >= fetchLeast && transfer < fetched {
		n.fetched, n.transfer, n.from = fetched, transfer, p.source
		n.again -= fetched
	}
	return n
}

// homesOf are the places of the usable servers with the highest hashes, the
// highest first; -1 where there are fewer, or no prefix.
func homesOf(prefix uint64, servers []Server, usable func(*Server) bool) [homeCount]int {
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
