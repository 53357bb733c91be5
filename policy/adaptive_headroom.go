package policy

import (
	"math"
	"time"
)

const (
	// headroomMinRefusalRatio is the share of more urgent requests that may be refused for
	// lack of a slot before a level raises its headroom. Two gateways that take the same last
	// slot cost one refusal in fifty. headroomMinRefusals is how many such refusals, over all
	// gateways, are needed as well.
	headroomMinRefusalRatio = 0.02
	headroomMinRefusals     = 2.0
	// headroomGrowth is how much the headroom grows per second of such refusals, as a share of
	// the slots. At 0.5, five of 64 slots are free a sixth of a second after a burst's first
	// refusals, as soon as the streams in them have ended.
	headroomGrowth = 0.5
	// maxHeadroom bounds the headroom at nearly half of the slots that the most urgent level
	// may fill: more urgent traffic that arrives at several times its usual rate needs most of
	// them. The headroom is also bounded by the share of all offered requests that is above
	// the level, so that a handful of the most urgent requests doesn't take the slots from
	// hundreds of others.
	maxHeadroom = 0.4
	// headroomRefusalFactor bounds the headroom at this multiple of the slots that the
	// requests refused above would occupy. It is above 1 since other requests take some of the
	// slots that become free.
	headroomRefusalFactor = 1.5
	// headroomTimeConstant is the time constant with which a level's headroom decays: two
	// thirds of it are gone after that time. It spans several turnovers of a batch, so that
	// slots stay free during a burst and aren't left unused for long after it.
	headroomTimeConstant = 4 * time.Second
	// offerBaselineTimeConstant is the time constant of the average of offered requests that
	// a surge is compared with. Streams hold their slots for about as long: 1.5 s to 4 s.
	offerBaselineTimeConstant = 3 * time.Second
	// surgeStdDevs is how many standard deviations above the baseline the number of offered
	// requests must be to count as a surge. The standard deviation of a Poisson count is the
	// square root of its mean.
	surgeStdDevs = 2
)

// AdaptiveHeadroom computes the share of the servers' slots that each urgency level leaves
// free for more urgent levels, from what was refused recently at all gateways.
//
// It guards against two neighboring levels whose bursts coincide: whichever request arrives first
// takes a freed slot, and the more urgent level is refused as often as the other. With headroom,
// the slots of less urgent streams that end go to the more urgent level. Fixed reservations would
// have to be as large and would be unused whenever nothing urgent arrives. Headroom doesn't help
// when the urgent traffic alone exceeds capacity.
//
// Refusals are a late signal. Streams hold their slots for seconds, so an urgent burst fills
// the servers only two or three seconds after it began, and the less urgent requests admitted
// until then take slots and server time from it. A level therefore also leaves slots free when
// all gateways together are offered more than usual above it: as many as these requests will
// occupy, since the slots in use grow in proportion to the offered requests. If both levels
// fit, this refuses nothing.
//
// Not safe for concurrent use.
type AdaptiveHeadroom struct {
	headroom [UrgencyLevels]float64
	// baseline is the usual number of offered requests at each level, not yet divided by
	// baselineWeight. surge is the number offered above each level beyond that baseline, as a
	// share of the baseline of all levels.
	baseline       [UrgencyLevels]float64
	baselineWeight float64
	surge          [UrgencyLevels]float64
	updated        time.Time
}

// Share returns the share of each server's slots, from 0 to 1, that a level leaves free now.
// offers counts the requests offered and refused at all gateways; utilization is the share of
// all slots in use, as SlotUtilization returns it.
func (h *AdaptiveHeadroom) Share(now time.Time, offers *OfferCounts, utilization float64, urgency int) float64 {
	h.advance(now, offers, utilization)
	return max(h.headroom[urgency], min(utilization*h.surge[urgency], maxHeadroom))
}

// advance accounts for the time since the last call. One call lets the headroom grow for at
// most one gossip interval, since refusals during a longer gap weren't observed.
func (h *AdaptiveHeadroom) advance(now time.Time, offers *OfferCounts, utilization float64) {
	const maxGrowthStep = 100 * time.Millisecond
	elapsed := now.Sub(h.updated)
	if h.updated.IsZero() {
		elapsed = maxGrowthStep
	}
	h.updated = now
	h.updateBaseline(elapsed, offers)
	decay := math.Exp(-float64(elapsed) / float64(headroomTimeConstant))
	maxGrowth := headroomGrowth * min(elapsed, maxGrowthStep).Seconds()
	total, admitted, offered, refused := 0.0, 0.0, 0.0, 0.0
	for _, level := range offers {
		total += level.Offered
		admitted += level.Offered - level.NoSlot
	}
	for urgency := range h.headroom {
		h.headroom[urgency] *= decay
		if limit := min(maxHeadroom, offered/total, headroomRefusalFactor*utilization*refused/max(admitted, 1)); refused >= headroomMinRefusals && refused > headroomMinRefusalRatio*offered && h.headroom[urgency] < limit {
			h.headroom[urgency] = min(h.headroom[urgency]+maxGrowth, limit)
		}
		offered += offers[urgency].Offered
		refused += offers[urgency].NoSlot
	}
	h.detectSurge(offers)
}

// updateBaseline adds the currently offered requests to the baseline.
func (h *AdaptiveHeadroom) updateBaseline(elapsed time.Duration, offers *OfferCounts) {
	decay := math.Exp(-float64(elapsed) / float64(offerBaselineTimeConstant))
	h.baselineWeight = decay*h.baselineWeight + 1 - decay
	for urgency := range h.baseline {
		h.baseline[urgency] = decay*h.baseline[urgency] + (1-decay)*offers[urgency].Offered
	}
}

// detectSurge updates each level's surge: the requests offered above the level in excess of
// the baseline and its random variation.
func (h *AdaptiveHeadroom) detectSurge(offers *OfferCounts) {
	total := 0.0
	for _, baseline := range h.baseline {
		total += baseline / h.baselineWeight
	}
	offered, baseline := 0.0, 0.0
	for urgency := range h.surge {
		h.surge[urgency] = 0
		if excess := offered - baseline - surgeStdDevs*math.Sqrt(baseline); excess > 0 && total > 0 {
			h.surge[urgency] = excess / total
		}
		offered += offers[urgency].Offered
		baseline += h.baseline[urgency] / h.baselineWeight
	}
}
