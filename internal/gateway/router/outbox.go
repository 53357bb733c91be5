package router

import (
	"github.com/applepier/applepier/policy"
)

// mostUnsent bounds the samples of one kind that wait to be told: what nobody
// takes isn't kept.
const mostUnsent = 256

// outbox gathers the first tokens and pauses that came, and the requests that got no
// answer, since others were told last. A datagram that is lost loses its own, which is
// as if fewer had been sent.
type outbox struct {
	firsts     []policy.FirstToken
	pauses     []policy.Pause
	unanswered []policy.Key
}

func (o *outbox) first(one policy.FirstToken) {
	if len(o.firsts) < mostUnsent {
		o.firsts = append(o.firsts, one)
	}
}

func (o *outbox) pause(one policy.Pause) {
	if len(o.pauses) < mostUnsent {
		o.pauses = append(o.pauses, one)
	}
}

func (o *outbox) noAnswer(server policy.Key) {
	if len(o.unanswered) < mostUnsent {
		o.unanswered = append(o.unanswered, server)
	}
}

func (o *outbox) take() outbox {
	all := *o
	*o = outbox{}
	return all
}
