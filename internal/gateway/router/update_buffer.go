package router

import (
	"github.com/applepier/applepier/policy"
)

// mostUnsent bounds the samples of one kind that wait to be told: what nobody
// takes isn't kept.
const maxBufferedSamples = 256

// outbox gathers the first tokens and pauses that came, and the requests that got no
// answer, since others were told last. A datagram that is lost loses its own, which is
// as if fewer had been sent.
type updateBuffer struct {
	firstTokens []policy.FirstToken
	pauses      []policy.Pause
	unanswered  []policy.Key
}

func (b *updateBuffer) addFirstToken(sample policy.FirstToken) {
	if len(b.firstTokens) < maxBufferedSamples {
		b.firstTokens = append(b.firstTokens, sample)
	}
}

func (b *updateBuffer) addPause(sample policy.Pause) {
	if len(b.pauses) < maxBufferedSamples {
		b.pauses = append(b.pauses, sample)
	}
}

func (b *updateBuffer) addUnanswered(server policy.Key) {
	if len(b.unanswered) < maxBufferedSamples {
		b.unanswered = append(b.unanswered, server)
	}
}

func (b *updateBuffer) takeAll() updateBuffer {
	buffered := *b
	*b = updateBuffer{}
	return buffered
}
