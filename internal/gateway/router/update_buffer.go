package router

import (
	"github.com/applepier/applepier/policy"
)

// maxBufferedSamples bounds the samples of each kind that wait to be sent. More are dropped, so
// that the buffer stays small if nothing takes them.
const maxBufferedSamples = 256

// updateBuffer collects the samples since the last update to other gateways: times to first token,
// pauses, and servers that did not respond. Samples in a lost datagram are not sent again;
// the other gateways then merely have fewer samples.
type updateBuffer struct {
	firstTokens []policy.TTFTSample
	pauses      []policy.Pause
	unanswered  []policy.Key
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
