package policy

import (
	"math"
	"time"
)

const (
	// yieldAbove is the share of what is more urgent that may be refused for
	// want of a slot before a level leaves it more room, and yieldLeast how
	// many of all senders' refusals that takes: one in fifty is what two
	// senders that take the same last slot cost.
	yieldAbove = 0.02
	yieldLeast = 2.0
	// yieldGrowth is by how much more of the slots a level leaves free after a
	// second of such refusals: at half of the slots a second, five of 64 are
	// free a sixth of a second after a burst's first refusals, as soon as those
	// of the streams that run then have ended.
	yieldGrowth = 0.5
	// yieldMost bounds it, at ten of 64 slots: as streams end, a level that leaves
	// so many free has lost its other slots to what is more urgent within a turn
	// of a batch.
	yieldMost = 0.15
	// yieldMemory is the time in which a level takes up again two thirds of
	// what it has left free: some turns of a batch, so that room is there while
	// a burst lasts, and nothing is left unused for long after it.
	yieldMemory = 4 * time.Second
)

// Yielding is what part of the servers' slots each level of urgency leaves free
// for those above it, by what these were refused lately at all senders.
//
// It answers two classes of neighbouring urgency that come in bursts at once and
// fill all slots side by side: a freed slot is taken by whoever comes first, and
// the more urgent are refused as often as the others. A few slots a server that
// only they may take are enough, since the others' streams end and are not
// followed by new ones. Fixed shares would have to be as wide, and leave slots
// unused whenever nothing urgent comes.
//
// In a play of 24 senders before 12 engines questions that miss their target fall
// from one in eleven to one in 23, while a sixth of the summaries beside them is
// served still; on a day of two overlapping bursts before 29 senders and 53
// engines the refused questions fell from 512 to about 400 of 14,800, evenly, at
// the same goodput.
//
// Not safe for concurrent use.
type Yielding struct {
	left [UrgencyLevels]float64
	last time.Time
}

// Share is the part of each server's slots that a level leaves free now, by all
// senders' shortage.
func (y *Yielding) Share(now time.Time, shortage *Shortage, urgency int) float64 {
	y.advance(now, shortage)
	return y.left[urgency]
}

// advance accounts for the time since the last call. A long time counts as one
// telling interval: what was short in all of it nobody has seen.
func (y *Yielding) advance(now time.Time, shortage *Shortage) {
	const longestStep = 100 * time.Millisecond
	since := now.Sub(y.last)
	if y.last.IsZero() {
		since = 0
	}
	y.last = now
	kept := math.Exp(-float64(since) / float64(yieldMemory))
	growth := yieldGrowth * min(since, longestStep).Seconds()
	offered, lacked := 0.0, 0.0
	for urgency := range y.left {
		y.left[urgency] *= kept
		if lacked >= yieldLeast && lacked > yieldAbove*offered {
			y.left[urgency] = min(y.left[urgency]+growth, yieldMost)
		}
		offered += shortage[urgency].Offered
		lacked += shortage[urgency].Lacked
	}
}
