package policy

import "time"

const (
	// starvedAfter is how long a class may wait without a grant before it counts
	// as starved. With a shorter time every burst of a few seconds in an urgent
	// class would give slots to the lowest tier; a longer one raises the bound on
	// the wait of each class by the same amount.
	starvedAfter = 10 * time.Second
	// guaranteedShare is the fraction of an engine's slot time that all starved
	// classes share: one slot in eight. This is what the urgent classes lose in a
	// long saturation. With a smaller share the bound on the wait grows in
	// proportion.
	guaranteedShare = 1.0 / 8
)

// creditTolerance is the slot time, in seconds, up to which negative credit
// counts as zero. Rounding errors could otherwise request a wake-up with nothing
// to do.
const creditTolerance = 1e-6

// guarantee prevents starvation: classes that wait and had no grant for
// starvedAfter receive guaranteedShare of the engine's slot time, the longest
// waiting class first.
//
// It matters while urgent classes saturate the engine, because strict priority
// would then never run the lowest tier. The share is one of slot time rather than
// of grants: a long response may hold its slot a hundred times as long as a short
// one, and with one grant in eight, long responses would soon fill the engine.
//
// The bound: with C slots, k starved classes and no run longer than L, a class
// with a waiting ticket is granted a slot within
//
//	starvedAfter + k * L * max(1, 8/C) + L
//
// On an engine with at least eight slots, five starved classes and responses of
// at most 20 s, this is 130 s. If several runs of one class were preempted for
// urgent ones, each of them is resumed in a turn of its own.
type guarantee struct {
	// credit is the slot time, in seconds, that starved classes may still use. It
	// never exceeds zero, so that starved classes can't save up a burst.
	credit float64
	// running is the number of runs that were granted under the guarantee.
	running int
	// lastAdvance is the time of the last call of advance.
	lastAdvance time.Time
}

// advance updates the credit for the time since the last call, with the given
// number of slots.
func (g *guarantee) advance(now time.Time, slots int) {
	if g.lastAdvance.IsZero() {
		g.lastAdvance = now
	}
	elapsed := now.Sub(g.lastAdvance).Seconds()
	g.lastAdvance = now
	earned := elapsed * guaranteedShare * float64(slots)
	used := elapsed * float64(g.running)
	g.credit = min(0, g.credit+earned-used)
}

// canGrant reports whether a starved class may be granted a slot now.
func (g *guarantee) canGrant(slots int) bool {
	return g.credit >= -creditTolerance && g.running < guaranteedSlots(slots)
}

// creditRestoredAt returns when the credit reaches zero if no starved class runs
// until then.
func (g *guarantee) creditRestoredAt(now time.Time, slots int) time.Time {
	untilRestored := -g.credit / (guaranteedShare * float64(slots))
	return now.Add(time.Duration(untilRestored*float64(time.Second)) + time.Microsecond)
}

// guaranteedSlots returns how many runs may be granted under the guarantee at the
// same time, at least 1.
func guaranteedSlots(slots int) int {
	return max(1, int(float64(slots)*guaranteedShare))
}
