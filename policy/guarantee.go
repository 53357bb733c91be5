package policy

import "time"

const (
	// starvedAfter is how long a class may wait without a grant before the
	// guarantee serves it. Shorter, and every burst of a few seconds in an
	// urgent class would hand slots to the lowest tier; longer, and the bound on
	// the longest wait grows by as much for each class.
	starvedAfter = 10 * time.Second
	// guaranteedShare is the share of an engine's slot time that the starved
	// classes get between them. It is what the urgent classes lose in a long
	// saturation: one slot of eight. A smaller share makes the bounded wait
	// longer in proportion.
	guaranteedShare = 1.0 / 8
)

// creditGrain is the slot time in seconds below which credit counts as none,
// so that rounding can't ask for a wake that finds nothing to do.
const creditGrain = 1e-6

// guarantee sees to it that every class is eventually served: while classes
// wait that have got nothing for starvedAfter, they get guaranteedShare of
// the engine's slot time, longest waiting class first.
//
// It answers saturation by urgent classes that lasts: strict priority would
// then never run the lowest tier. The share is of slot time and not of grants,
// since a long answer may hold its slot for a hundred times as long as a short
// one, and one grant in eight would soon fill the engine with long ones.
//
// The bound: with C slots, k classes starved and no run longer than L, a
// class that has a ticket waiting is granted within
//
//	starvedAfter + k * L * max(1, 8/C) + L
//
// On an engine of eight slots or more with five starved classes and answers
// of at most 20 s this is 130 s. Of several runs of one class that were
// cancelled for urgent ones, each is resumed in one such turn.
type guarantee struct {
	// credit is the slot time in seconds that the starved classes may still
	// use; it never grows above zero, so that no burst of them is saved up.
	credit  float64
	running int
	last    time.Time
}

// advance accounts for the time since the last call, with slots runs allowed.
func (g *guarantee) advance(now time.Time, slots int) {
	if g.last.IsZero() {
		g.last = now
	}
	passed := now.Sub(g.last).Seconds()
	g.last = now
	earned := passed * guaranteedShare * float64(slots)
	used := passed * float64(g.running)
	g.credit = min(0, g.credit+earned-used)
}

// allows reports whether a starved class may get a slot now.
func (g *guarantee) allows(slots int) bool {
	return g.credit >= -creditGrain && g.running < guaranteedSlots(slots)
}

// due is when the credit is back at zero if no starved class runs until then.
func (g *guarantee) due(now time.Time, slots int) time.Time {
	seconds := -g.credit / (guaranteedShare * float64(slots))
	return now.Add(time.Duration(seconds*float64(time.Second)) + time.Microsecond)
}

// guaranteedSlots is how many starved runs there may be at once.
func guaranteedSlots(slots int) int {
	return max(1, int(float64(slots)*guaranteedShare))
}
