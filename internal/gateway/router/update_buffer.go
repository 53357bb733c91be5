package router

import (
	"time"

	"github.com/applepier/applepier/policy"
)

// maxBufferedSamples bounds the samples of each kind that wait to be sent. More are dropped, so
// that the buffer stays small if nothing takes them.
const maxBufferedSamples = 256

// updateBuffer collects the samples since the last update to other gateways: times to first token,
// pauses, intervals between events, and servers that did not respond. Samples in a lost datagram are not sent again;
// the other gateways then merely have fewer samples.
type updateBuffer struct {
	firstTokens []policy.TTFTSample
	pauses      []policy.Pause
	unanswered  []policy.Key
	// pauseCounts holds the pause counts by service and urgency level.
	pauseCounts []policy.PauseCounts
	// eventIntervals holds the sum of the intervals of each server, and eventIntervalCounts their
	// number, by the same index.
	eventIntervals      []policy.EventInterval
	eventIntervalCounts []int
}

// addFirstToken adds a time to first token.
func (b *updateBuffer) addFirstToken(sample policy.TTFTSample) {
	if len(b.firstTokens) < maxBufferedSamples {
		b.firstTokens = append(b.firstTokens, sample)
	}
}

// addPause adds the longest pause of a stream.
func (b *updateBuffer) addPause(sample policy.Pause) {
	if len(b.pauses) < maxBufferedSamples {
		b.pauses = append(b.pauses, sample)
	}
}

// addEventInterval adds the event interval of a stream. Intervals of further servers are dropped if
// those of policy.MaxEventIntervals servers wait to be sent.
func (b *updateBuffer) addEventInterval(sample policy.EventInterval) {
	for i := range b.eventIntervals {
		if sum := &b.eventIntervals[i]; sum.Service == sample.Service && sum.Server == sample.Server {
			if b.eventIntervalCounts[i] < maxBufferedSamples {
				sum.Interval += sample.Interval
				b.eventIntervalCounts[i]++
			}
			return
		}
	}
	if len(b.eventIntervals) < policy.MaxEventIntervals {
		b.eventIntervals, b.eventIntervalCounts = append(b.eventIntervals, sample), append(b.eventIntervalCounts, 1)
	}
}

// addPauseCounts adds pause counts of a service and urgency level.
func (b *updateBuffer) addPauseCounts(counts policy.PauseCounts) {
	for i := range b.pauseCounts {
		if sum := &b.pauseCounts[i]; sum.Service == counts.Service && sum.Urgency == counts.Urgency {
			sum.Late += counts.Late
			sum.OnTime += counts.OnTime
			return
		}
	}
	if len(b.pauseCounts) < maxBufferedSamples {
		b.pauseCounts = append(b.pauseCounts, counts)
	}
}

// meanEventIntervals returns the mean event interval of each server, and replaces the sums by them.
func (b *updateBuffer) meanEventIntervals() []policy.EventInterval {
	for i, count := range b.eventIntervalCounts {
		b.eventIntervals[i].Interval /= time.Duration(count)
	}
	b.eventIntervalCounts = nil
	return b.eventIntervals
}

// addUnanswered adds a server that did not respond to a request.
func (b *updateBuffer) addUnanswered(server policy.Key) {
	if len(b.unanswered) < maxBufferedSamples {
		b.unanswered = append(b.unanswered, server)
	}
}

// takeAll returns the samples and empties the buffer.
func (b *updateBuffer) takeAll() updateBuffer {
	buffered := *b
	*b = updateBuffer{}
	return buffered
}
