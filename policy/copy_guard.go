package policy

import "time"

// copyFor is how long runs are copied after a stream broke off. Servers that
// crash come in groups and by turns; a copy of each run all the time would cost
// about a hundredth of what the answers are worth, also on days on which
// nothing crashes.
const copyFor = 2 * time.Minute

// CopyGuard decides whether another server is to keep a copy of what a run has
// in memory, so that a stream that can't be sent again goes on there when its
// server crashes.
//
// It answers servers that crash in the middle of long answers: without copies
// each crash costs all the streams that the server runs. It goes by streams
// that broke off, so that quiet days pay for no copies; the streams of the
// first crash are lost.
//
// Not safe for concurrent use.
type CopyGuard struct {
	until time.Time
}

// Broke notes that a server broke a stream off.
func (g *CopyGuard) Broke(now time.Time) { g.until = now.Add(copyFor) }

// Wanted reports whether runs are to be copied now.
func (g *CopyGuard) Wanted(now time.Time) bool { return now.Before(g.until) }

// CopyPlace returns the place of the server that is to keep the copy of a run at
// another one, -1 for none: the one with the least load, in the zone of the run
// if there is one, since a way between zones takes twice as long. Copies take
// memory there, and a slot when the stream goes on.
func (c *Chooser) CopyPlace(now time.Time, run string, servers []Server) int {
	zone := ""
	for i := range servers {
		if servers[i].Name == run {
			zone = servers[i].Zone
		}
	}
	best, near, least := -1, false, 0
	for i := range servers {
		s := &servers[i]
		if s.Name == run || s.Leaving || s.Warming || c.ejector.Ejected(now, s.Name) {
			continue
		}
		load := s.inFlight()
		if here := s.Zone == zone; best < 0 || here && !near || here == near && load < least {
			best, near, least = i, here, load
		}
	}
	return best
}
