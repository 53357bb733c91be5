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
	// yieldMost bounds it, at nearly half of the slots that the most urgent may
	// fill: what is more urgent and comes at several times its rate needs most of
	// them. Nor does it grow beyond the part of all offers that is above the level,
	// so that a handful of the most urgent doesn't take the slots from hundreds.
	yieldMost = 0.4
	// yieldRefused is how many times the slots that those refused above would hold a
	// level leaves at the most: more than once, since others than they take some of
	// what comes free.
	yieldRefused = 1.5
	// yieldMemory is the time in which a level takes up again two thirds of
	// what it has left free: some turns of a batch, so that room is there while
	// a burst lasts, and nothing is left unused for long after it.
	yieldMemory = 4 * time.Second
	// usualMemory is over how long it is averaged what is usually offered: about
	// as long as streams hold their slots, from one and a half seconds to four.
	usualMemory = 3 * time.Second
	// riseSpreads is by how many standard deviations of a count more must be
	// offered than usual before that counts as a rise.
	riseSpreads = 2
)

// Yielding is what part of the servers' slots each level of urgency leaves free
// for those above it, by what these were refused lately at all senders.
//
// It answers two classes of neighbouring urgency that come in bursts at once and
// fill all slots side by side: a freed slot is taken by whoever comes first, and
// the more urgent are refused as often as the others. Slots that only they may
// take come free as the others' streams end and aren't followed by new ones.
// Fixed shares would have to be as wide, and leave slots unused whenever nothing
// urgent comes. It doesn't help against more of what is urgent than fits alone.
//
// Refusals come late: streams hold their slots for seconds, so a burst of what is
// urgent fills the servers two or three seconds after it began, and all that is
// less urgent and let in until then takes slots, and the servers' time, from it.
// So a level also leaves what those above will take in as long as they hold
// slots, if more of them is offered than usual, at all senders: the slots in use
// grow with the offers. Where that fits beside it nobody is refused for it.
//
// Not safe for concurrent use.
type Yielding struct {
	left [UrgencyLevels]float64
	// usual is what is usually offered at each level, weighed by weight, and more
	// what is offered beyond that above each, as a part of what usually is at all.
	usual  [UrgencyLevels]float64
	weight float64
	more   [UrgencyLevels]float64
	last   time.Time
}

// Share is the part of each server's slots that a level leaves free now, by all
// senders' shortage, and busy, the part of all slots in use.
func (y *Yielding) Share(now time.Time, shortage *Shortage, busy float64, urgency int) float64 {
	y.advance(now, shortage, busy)
	return max(y.left[urgency], min(busy*y.more[urgency], yieldMost))
}

// advance accounts for the time since the last call. A long time counts as one
// telling interval: what was short in all of it nobody has seen.
func (y *Yielding) advance(now time.Time, shortage *Shortage, busy float64) {
	const longestStep = 100 * time.Millisecond
	since := now.Sub(y.last)
	if y.last.IsZero() {
		since = longestStep
	}
	y.last = now
	y.learn(since, shortage)
	kept := math.Exp(-float64(since) / float64(yieldMemory))
	growth := yieldGrowth * min(since, longestStep).Seconds()
	all, letIn, offered, lacked := 0.0, 0.0, 0.0, 0.0
	for _, level := range shortage {
		all += level.Offered
		letIn += level.Offered - level.Lacked
	}
	for urgency := range y.left {
		y.left[urgency] *= kept
		if most := min(yieldMost, offered/all, yieldRefused*busy*lacked/max(letIn, 1)); lacked >= yieldLeast && lacked > yieldAbove*offered && y.left[urgency] < most {
			y.left[urgency] = min(y.left[urgency]+growth, most)
		}
		offered += shortage[urgency].Offered
		lacked += shortage[urgency].Lacked
	}
	y.compare(shortage)
}

// learn takes what is offered into what usually is.
func (y *Yielding) learn(since time.Duration, shortage *Shortage) {
	kept := math.Exp(-float64(since) / float64(usualMemory))
	y.weight = kept*y.weight + 1 - kept
	for urgency := range y.usual {
		y.usual[urgency] = kept*y.usual[urgency] + (1-kept)*shortage[urgency].Offered
	}
}

// compare says what is offered beyond the usual, and beyond chance.
func (y *Yielding) compare(shortage *Shortage) {
	all := 0.0
	for _, usual := range y.usual {
		all += usual / y.weight
	}
	offered, usual := 0.0, 0.0
	for urgency := range y.more {
		y.more[urgency] = 0
		if more := offered - usual - riseSpreads*math.Sqrt(usual); more > 0 && all > 0 {
			y.more[urgency] = more / all
		}
		offered += shortage[urgency].Offered
		usual += y.usual[urgency] / y.weight
	}
}
